package delta

import (
	"flag"
	"testing"
)

// TestMain sets the seed of rapid, so that runs are reproducible.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}
