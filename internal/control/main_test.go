package control

import (
	"flag"
	"testing"
)

// TestMain fixes the number of histories and their seed, so that two runs give
// the same verdict. Flags of the command line still go before.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "40", "rapid.seed": "1"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}
