package delta

import (
	"flag"
	"testing"
)

// TestMain fixes the seed, so that two runs give the same verdict.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}
