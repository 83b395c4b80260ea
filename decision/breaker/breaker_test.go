package breaker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSingleBreaksHoldUpNoCall(t *testing.T) {
	b := &Breaker{}
	for range 10 {
		for range breaksMax - 1 {
			require.True(t, b.Admit(0, false))
			require.False(t, b.RecordFailure())
		}
		require.True(t, b.Admit(0, false))
		require.False(t, b.RecordResponse())
	}
}

func TestBrokenEndpointIsProbed(t *testing.T) {
	for _, test := range []struct {
		desc       string
		idempotent bool
		interval   time.Duration
	}{
		{"by calls that may run twice", true, probeInterval},
		{"seldom by others", false, probeIntervalOnce},
	} {
		t.Run(test.desc, func(t *testing.T) {
			b := &Breaker{}
			for i := range breaksMax {
				require.True(t, b.Admit(0, test.idempotent))
				require.Equal(t, i == breaksMax-1, b.RecordFailure(), "it is told once")
			}
			require.False(t, b.Admit(test.interval-1, test.idempotent))
			require.True(t, b.Admit(test.interval, test.idempotent))
			require.False(t, b.Admit(test.interval+1, test.idempotent), "one at a time")
			require.False(t, b.RecordFailure())
			require.True(t, b.Admit(2*test.interval, test.idempotent))
			require.True(t, b.RecordResponse())
			require.True(t, b.Admit(2*test.interval, test.idempotent))
			require.True(t, b.Admit(2*test.interval, test.idempotent))
		})
	}
}

// TestEndpointThatGoesDownByTurns plays calls at an endpoint that is down and up for a
// second each, and breaks all calls while it is down.
func TestEndpointThatGoesDownByTurns(t *testing.T) {
	const (
		gap     = time.Millisecond
		turn    = time.Second
		length  = 20 * time.Second
		lostMax = 0.02 // of the calls while it is down
		usedMin = 0.85 // of the calls while it is up
	)
	b := &Breaker{}
	lost, down, used, up := 0, 0, 0, 0
	for now := time.Duration(0); now < length; now += gap {
		works, sent := now/turn%2 == 0, b.Admit(now, now%(2*gap) == 0)
		switch {
		case works && sent:
			up++
			used++
			b.RecordResponse()
		case works:
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
