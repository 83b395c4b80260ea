package idlelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const usual = 8 * time.Second

func TestResetAfterARestLowersTheLimit(t *testing.T) {
	tests := []struct {
		desc              string
		rested, afterSend time.Duration
		want              time.Duration
	}{
		{"gone when it was used", 600 * time.Millisecond, time.Millisecond, 300 * time.Millisecond},
		{"never under the least", 120 * time.Millisecond, time.Millisecond, limitMin},
		{"used a moment before", 10 * time.Millisecond, time.Millisecond, usual},
		{"the endpoint broke off its work", time.Second, 80 * time.Millisecond, usual},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			l := New(usual)
			l.RecordReset(0, test.rested, test.afterSend)
			require.Equal(t, test.want, l.Current(0))
		})
	}
}

func TestLimitComesBack(t *testing.T) {
	l := New(usual)
	l.RecordReset(0, time.Second, 0)
	require.Equal(t, 500*time.Millisecond, l.Current(holdTime-1))
	require.Equal(t, time.Second, l.Current(holdTime))
	require.Equal(t, usual, l.Current(time.Hour))
}

// TestFewRequestsAreLost plays requests at random rests against an endpoint that
// forgets connections after 320 ms, and counts the resets.
func TestFewRequestsAreLost(t *testing.T) {
	l := New(usual)
	lost, now := 0, time.Duration(0)
	for i := range 1000 {
		rested := time.Duration(i*37%1000) * time.Millisecond
		now += 10 * time.Millisecond
		if rested > l.Current(now) {
			continue // a new connection
		}
		if rested > 320*time.Millisecond {
			lost++
			l.RecordReset(now, rested, time.Millisecond)
		}
	}
	require.LessOrEqual(t, lost, 3)
}
