package idlelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const defaultLimit = 8 * time.Second

func TestResetAfterIdlenessLowersTheLimit(t *testing.T) {
	tests := []struct {
		desc            string
		idle, afterSend time.Duration
		want            time.Duration
	}{
		{"dropped before it was used", 600 * time.Millisecond, time.Millisecond, 300 * time.Millisecond},
		{"not below the minimum", 120 * time.Millisecond, time.Millisecond, limitMin},
		{"used shortly before", 10 * time.Millisecond, time.Millisecond, defaultLimit},
		{"the endpoint aborted the request", time.Second, 80 * time.Millisecond, defaultLimit},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			l := New(defaultLimit)
			l.RecordReset(0, test.idle, test.afterSend)
			require.Equal(t, test.want, l.Current(0))
		})
	}
}

func TestLimitRecovers(t *testing.T) {
	l := New(defaultLimit)
	l.RecordReset(0, time.Second, 0)
	require.Equal(t, 500*time.Millisecond, l.Current(holdTime-1))
	require.Equal(t, time.Second, l.Current(holdTime))
	require.Equal(t, defaultLimit, l.Current(time.Hour))
}

// TestFewRequestsAreLost simulates requests after varying idle times to an endpoint that
// drops idle connections after 320 ms, and counts the resets.
func TestFewRequestsAreLost(t *testing.T) {
	l := New(defaultLimit)
	lost, now := 0, time.Duration(0)
	for i := range 1000 {
		idle := time.Duration(i*37%1000) * time.Millisecond
		now += 10 * time.Millisecond
		if idle > l.Current(now) {
			continue // a new connection
		}
		if idle > 320*time.Millisecond {
			lost++
			l.RecordReset(now, idle, time.Millisecond)
		}
	}
	require.LessOrEqual(t, lost, 3)
}
