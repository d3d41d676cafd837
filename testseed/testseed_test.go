package testseed_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"

	_ "endiveflow.example/endiveflow/testseed"
)

// A random seed would let CI pass and fail on the same code.
func TestSeedIsFixed(t *testing.T) {
	require.NotEqual(t, "0", flag.Lookup("rapid.seed").Value.String())
}
