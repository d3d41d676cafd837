// Package testseed fixes the seed of property tests, so that a run of the
// tests has the same verdict each time. Test files import it for its effect;
// the flags -rapid.seed and -rapid.steps still choose other values.
package testseed

import (
	"flag"

	// Importing rapid first makes sure that its flags are registered.
	_ "pgregory.net/rapid"
)

// values holds the flags of rapid that testseed sets.
var values = map[string]string{
	// The seed is arbitrary; rapid takes 0 to mean a random one.
	"rapid.seed": "20261203",
	// rapid's default of 30 actions is too few to fill queues and ledgers.
	"rapid.steps": "200",
}

func init() {
	for name, value := range values {
		if err := flag.Set(name, value); err != nil {
			panic("testseed: " + err.Error())
		}
	}
}
