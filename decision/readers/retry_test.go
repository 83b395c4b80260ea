package readers

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRetryPause(t *testing.T) {
	tests := []struct {
		desc     string
		failures int
		random   float64
		want     time.Duration
	}{
		{"first, shortest", 1, 0, 100 * time.Millisecond},
		{"first, longest", 1, 1, 200 * time.Millisecond},
		{"second, shortest", 2, 0, 200 * time.Millisecond},
		{"third, longest", 3, 1, 800 * time.Millisecond},
		{"many, longest", 1000, 1, RetryPauseMax},
		{"many, shortest", 1000, 0, RetryPauseMax / 2},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			require.Equal(t, test.want, RetryPause(test.failures, test.random))
		})
	}
}

// TestOutageReads plays an outage of 4.5 s for 200 nodes, whose reads fail at once, and
// compares their number with one try a second and the first two of each node.
func TestOutageReads(t *testing.T) {
	const (
		nodes  = 200
		outage = 4500 * time.Millisecond
	)
	r := rand.New(rand.NewPCG(1, 1))
	reads, latest := 0, time.Duration(0)
	for range nodes {
		at := time.Duration(0)
		for failures := 1; at < outage; failures++ {
			reads++
			at += RetryPause(failures, r.Float64())
		}
		latest = max(latest, at-outage)
	}
	t.Logf("%d reads, the last node reads again %s after the outage", reads, latest)
	require.LessOrEqual(t, float64(reads), nodes*(2+outage.Seconds()))
	require.Less(t, latest, 2*time.Second, "configurations must be in force by then")
}
