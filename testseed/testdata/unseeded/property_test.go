package unseeded_test

import (
	"testing"

	"pgregory.net/rapid"
)

func TestProperty(t *testing.T) { rapid.Check(t, func(*rapid.T) {}) }
