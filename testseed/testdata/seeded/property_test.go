package seeded_test

import (
	"testing"

	"pgregory.net/rapid"

	_ "endiveflow.example/endiveflow/testseed"
)

func TestProperty(t *testing.T) { rapid.Check(t, func(*rapid.T) {}) }
