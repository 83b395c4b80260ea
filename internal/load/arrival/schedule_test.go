package arrival

import (
	"context"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/galenacart/galenacart/internal/load/experiment"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func twoPhases(seed uint64) *experiment.Experiment {
	return &experiment.Experiment{
		Name: "test", Seed: seed, MaxRequests: 100_000,
		Phases: []experiment.Phase{
			{Name: "a", DurationMs: 10_000, Rates: []experiment.Rate{{Route: "x", PerSecond: 100}, {Route: "y", PerSecond: 0}}},
			{Name: "b", DurationMs: 20_000, Rates: []experiment.Rate{{Route: "x", PerSecond: 200}, {Route: "y", PerSecond: 50}}},
		},
	}
}

func TestScheduleKeepsRatesAndPhases(t *testing.T) {
	all, err := Schedule(twoPhases(1))
	require.NoError(t, err)
	type stream struct {
		phase int
		route string
	}
	counts := map[stream]float64{}
	for i, a := range all {
		counts[stream{a.Phase, a.Route}]++
		require.True(t, i == 0 || all[i-1].At <= a.At, "arrivals are sorted")
		require.Equal(t, a.At >= 10*time.Second, a.Phase == 1)
		require.Less(t, a.At, 30*time.Second)
	}
	// A Poisson count of mean n has standard deviation sqrt(n).
	for s, mean := range map[stream]float64{{0, "x"}: 1000, {0, "y"}: 0, {1, "x"}: 4000, {1, "y"}: 1000} {
		require.InDelta(t, mean, counts[s], 4*math.Sqrt(mean), "%v", s)
	}
}

func TestScheduleIsRepeatable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		first, err := Schedule(twoPhases(seed))
		require.NoError(t, err)
		again, err := Schedule(twoPhases(seed))
		require.NoError(t, err)
		require.Equal(t, first, again)
		other, err := Schedule(twoPhases(seed + 1))
		require.NoError(t, err)
		require.NotEqual(t, first, other)
	})
}

func TestScheduleIsBounded(t *testing.T) {
	e := twoPhases(1)
	e.MaxRequests = 1500
	_, err := Schedule(e)
	require.ErrorContains(t, err, "maxRequests 1500")
	e.Phases[0].Rates[0].PerSecond = 1e6
	_, err = Schedule(e)
	require.ErrorContains(t, err, `phase "a"`)
}

// TestDispatchDoesNotWaitForAnswers sends requests that take an hour and checks
// that every arrival is sent at its intended time.
func TestDispatchDoesNotWaitForAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		arrivals, err := Schedule(twoPhases(3))
		require.NoError(t, err)
		start := time.Now()
		sent := 0
		var answers sync.WaitGroup
		require.NoError(t, Dispatch(t.Context(), start, arrivals, func(a Arrival) {
			require.Equal(t, a.At, time.Since(start))
			sent++
			answers.Go(func() { time.Sleep(time.Hour) })
		}))
		require.Len(t, arrivals, sent)
		require.Equal(t, arrivals[len(arrivals)-1].At, time.Since(start))
		answers.Wait()
	})
}

func TestDispatchEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		sent := 0
		arrivals := []Arrival{{At: 0}, {At: time.Second}, {At: 2 * time.Second}}
		err := Dispatch(ctx, time.Now(), arrivals, func(Arrival) { sent++ })
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, 2, sent)
	})
}
