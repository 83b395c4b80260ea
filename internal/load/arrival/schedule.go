// Package arrival generates open-loop load: arrival times are fixed before the
// first request is sent, so the delay of a slow system is measured in full (no
// coordinated omission).
package arrival

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/load/experiment"
	"github.com/galenacart/galenacart/internal/wait"
)

// Arrival is one scheduled request.
type Arrival struct {
	// At is the intended time of the arrival, counted from the start.
	At time.Duration
	// Phase is the index of the phase.
	Phase int
	// Route names the route.
	Route string
}

// Schedule returns all arrivals of an experiment, sorted by time. The same seed
// gives the same arrivals. It fails when there would be more than MaxRequests.
func Schedule(e *experiment.Experiment) ([]Arrival, error) {
	var all []Arrival
	var start time.Duration
	for p := range e.Phases {
		phase := &e.Phases[p]
		for s, rate := range phase.Rates {
			random := rand.New(rand.NewPCG(e.Seed, uint64(p)<<32|uint64(s)))
			for _, at := range poissonTimes(random, rate.PerSecond, phase.Duration(), e.MaxRequests) {
				all = append(all, Arrival{At: start + at, Phase: p, Route: rate.Route})
			}
		}
		start += phase.Duration()
		if len(all) > e.MaxRequests {
			return nil, errors.Errorf("experiment %s: more than maxRequests %d by phase %q", e.Name, e.MaxRequests, phase.Name)
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all, nil
}

// poissonTimes returns the event times of a Poisson process, at most limit+1.
func poissonTimes(random *rand.Rand, perSecond float64, length time.Duration, limit int) []time.Duration {
	if perSecond <= 0 {
		return nil
	}
	var times []time.Duration
	for at := 0.0; len(times) <= limit; {
		at += random.ExpFloat64() / perSecond
		if at >= length.Seconds() {
			break
		}
		times = append(times, time.Duration(at*float64(time.Second)))
	}
	return times
}

// Dispatch calls send for each arrival at its time, counted from start. send must
// not block. Dispatch returns early when ctx ends.
func Dispatch(ctx context.Context, start time.Time, arrivals []Arrival, send func(Arrival)) error {
	for _, a := range arrivals {
		if delay := time.Until(start.Add(a.At)); delay > 0 {
			wait.For(ctx, delay)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		send(a)
	}
	return nil
}
