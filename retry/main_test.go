package retry_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that each run of CI gives the same verdict. A command line
// that sets -rapid.seed or -rapid.checks goes first.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "200"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
