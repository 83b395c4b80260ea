package control

import (
	"flag"
	"testing"
)

// TestMain sets the number of rapid checks and their seed, so that runs are
// reproducible. Flags of the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "40", "rapid.seed": "1"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}
