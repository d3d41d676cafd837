// Package testseed fixes the seed of property tests, so that a run of the
// tests has the same verdict each time. Test files import it for its effect;
// the flag -rapid.seed still chooses another seed.
package testseed

import (
	"flag"

	// Importing rapid first makes sure that its flags are registered.
	_ "pgregory.net/rapid"
)

// seed is arbitrary; rapid takes 0 to mean a random one.
const seed = "20261203"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("testseed: " + err.Error())
	}
}
