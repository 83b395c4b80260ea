package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestForWaitsForTheTimeOrTheEnd(t *testing.T) {
	for _, test := range []struct {
		desc   string
		wait   time.Duration
		end    time.Duration // of the context
		passed bool
		after  time.Duration
	}{
		{"the time passes", time.Second, 2 * time.Second, true, time.Second},
		{"the context ends first", 2 * time.Second, time.Second, false, time.Second},
		{"no time at all", 0, time.Second, true, 0},
		{"a time that is over", -time.Second, time.Second, true, 0},
	} {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.end)
				defer cancel()
				start := time.Now()
				require.Equal(t, test.passed, For(ctx, test.wait))
				require.Equal(t, test.after, time.Since(start))
			})
		})
	}
}

func TestDoneIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		done := make(chan struct{})
		time.AfterFunc(time.Second, func() { close(done) })
		start := time.Now()
		require.False(t, ForDone(done, 500*time.Millisecond))
		require.Equal(t, 500*time.Millisecond, time.Since(start))
		require.True(t, ForDone(done, time.Hour))
		require.Equal(t, time.Second, time.Since(start))
	})
}

func TestEveryEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 1050*time.Millisecond)
		defer cancel()
		calls := 0
		Every(ctx, 100*time.Millisecond, func() { calls++ })
		require.Equal(t, 10, calls)
	})
}

// Many goroutines wait for the same instants under the race detector, whose
// context a bubble's timers share.
func TestManyWaitsEndAtOneInstant(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			for range 60 {
				go Every(t.Context(), time.Millisecond, func() {
					For(t.Context(), 0)
					For(t.Context(), time.Millisecond)
				})
			}
			time.Sleep(60 * time.Millisecond)
		})
	}
}
