package breaker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIsolatedFailuresDoNotOpenTheBreaker(t *testing.T) {
	b := &Breaker{}
	for range 10 {
		for range failuresMax - 1 {
			require.True(t, b.Admit(0, false))
			require.False(t, b.RecordFailure())
		}
		require.True(t, b.Admit(0, false))
		require.False(t, b.RecordResponse())
	}
}

func TestOpenBreakerAdmitsProbes(t *testing.T) {
	for _, test := range []struct {
		desc       string
		idempotent bool
		interval   time.Duration
	}{
		{"idempotent calls", true, probeInterval},
		{"non-idempotent calls, less often", false, probeIntervalNonIdempotent},
	} {
		t.Run(test.desc, func(t *testing.T) {
			b := &Breaker{}
			for i := range failuresMax {
				require.True(t, b.Admit(0, test.idempotent))
				require.Equal(t, i == failuresMax-1, b.RecordFailure(), "opening is reported once")
			}
			require.False(t, b.Admit(test.interval-1, test.idempotent))
			require.True(t, b.Admit(test.interval, test.idempotent))
			require.False(t, b.Admit(test.interval+1, test.idempotent), "one probe per interval")
			require.False(t, b.RecordFailure())
			require.True(t, b.Admit(2*test.interval, test.idempotent))
			require.True(t, b.RecordResponse())
			require.True(t, b.Admit(2*test.interval, test.idempotent))
			require.True(t, b.Admit(2*test.interval, test.idempotent))
		})
	}
}

// TestEndpointThatAlternates simulates an endpoint that alternates between up and down
// every second and aborts all calls while it is down.
func TestEndpointThatAlternates(t *testing.T) {
	const (
		interval = time.Millisecond
		period   = time.Second
		duration = 20 * time.Second
		lostMax  = 0.02 // of the calls while it is down
		usedMin  = 0.85 // of the calls while it is up
	)
	b := &Breaker{}
	lost, down, used, up := 0, 0, 0, 0
	for now := time.Duration(0); now < duration; now += interval {
		working, sent := now/period%2 == 0, b.Admit(now, now%(2*interval) == 0)
		switch {
		case working && sent:
			up++
			used++
			b.RecordResponse()
		case working:
			up++
		case sent:
			down++
			lost++
			b.RecordFailure()
		default:
			down++
		}
	}
	require.LessOrEqual(t, float64(lost), lostMax*float64(down), "%d of %d lost", lost, down)
	require.GreaterOrEqual(t, float64(used), usedMin*float64(up), "%d of %d used", used, up)
}
