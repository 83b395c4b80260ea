package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFor(t *testing.T) {
	for _, test := range []struct {
		desc   string
		wait   time.Duration
		end    time.Duration // lifetime of the context
		passed bool
		after  time.Duration
	}{
		{"the time passes", time.Second, 2 * time.Second, true, time.Second},
		{"the context ends first", 2 * time.Second, time.Second, false, time.Second},
		{"zero wait", 0, time.Second, true, 0},
		{"negative wait", -time.Second, time.Second, true, 0},
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

func TestForDone(t *testing.T) {
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

func TestEveryStopsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 1050*time.Millisecond)
		defer cancel()
		calls := 0
		Every(ctx, 100*time.Millisecond, func() { calls++ })
		require.Equal(t, 10, calls)
	})
}

// Many goroutines wait until the same instants. In a bubble, all timers share one race
// detector context, which failed when timers were run concurrently.
func TestConcurrentWaitsUnderRaceDetector(t *testing.T) {
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
