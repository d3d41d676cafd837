// Package testseed sets a fixed seed for property tests, so that each run of the tests gives the same
// result. Test files import it for its side effect; the flags -rapid.seed and -rapid.steps override its
// values.
package testseed

import (
	"flag"

	// The import of rapid ensures that its flags are registered first.
	_ "pgregory.net/rapid"
)

// values holds the flags of rapid that testseed sets, with their values.
var values = map[string]string{
	// The seed is arbitrary, except that rapid treats 0 as a random seed.
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
