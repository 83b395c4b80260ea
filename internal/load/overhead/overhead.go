// Package overhead measures the time that two nodes add to a call, side by side
// with direct calls in one run.
package overhead

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/caller"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/load/arrival"
	"github.com/galenacart/galenacart/internal/load/experiment"
	"github.com/galenacart/galenacart/internal/load/report"
	"github.com/galenacart/galenacart/internal/standin/endpoint"
)

// Config says what to measure.
type Config struct {
	// Route is the route that is called. It must be idempotent.
	Route *catalogue.Route
	// Nodes lists the caller addresses of nodes of other services, so that each
	// call passes two nodes.
	Nodes []string
	// Endpoints lists the endpoints of the route's service.
	Endpoints []string
	// PerSecond is the rate of calls on each way.
	PerSecond float64
	// Warmup is the time at the start that is left out.
	Warmup time.Duration
	// Duration is the time that is measured.
	Duration time.Duration
	// Seed makes the arrivals repeatable.
	Seed uint64
}

// PathLatency is the figures of one way. Latency counts from the intended arrival.
type PathLatency struct {
	// Calls counts the measured calls.
	Calls int64 `json:"calls"`
	// Failed counts the calls without a successful answer.
	Failed int64 `json:"failed"`
	// P50Micros is the median latency, in microseconds.
	P50Micros int64 `json:"p50Micros"`
	// P90Micros is the 0.9 quantile, in microseconds.
	P90Micros int64 `json:"p90Micros"`
	// P99Micros is the 0.99 quantile, in microseconds.
	P99Micros int64 `json:"p99Micros"`
}

// Result compares the two ways.
type Result struct {
	// Direct is the way straight to the endpoint.
	Direct PathLatency `json:"direct"`
	// TwoNodes is the way through two nodes.
	TwoNodes PathLatency `json:"twoNodes"`
	// AddedP50Micros is the difference of the medians, in microseconds.
	AddedP50Micros int64 `json:"addedP50Micros"`
	// AddedP99Micros is the difference of the 0.99 quantiles, in microseconds.
	AddedP99Micros int64 `json:"addedP99Micros"`
}

// Bounds of the time that two nodes add at the 0.99 quantile, in microseconds.
const (
	targetMicros = 500
	boundMicros  = 1100
)

// Checks compares the result with the target and with the users' bound.
func (r *Result) Checks() []report.Check {
	var all []report.Check
	for _, most := range []int64{targetMicros, boundMicros} {
		all = append(all, report.Check{
			Name:  fmt.Sprintf("p99 added ≤ %.1f ms", toMs(most)),
			Value: fmt.Sprintf("%.3f ms", toMs(r.AddedP99Micros)),
			Met:   r.AddedP99Micros <= most,
		})
	}
	return all
}

func toMs(micros int64) float64 {
	return float64(micros) / 1000
}

// Bounds of the histograms, in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = 60_000_000
	significantDigits = 3

	maxRequests = 10_000_000
)

// way is one way under measurement.
type way struct {
	client *caller.Client
	mu     sync.Mutex
	hist   *hdrhistogram.Histogram
	failed int64
}

// Run measures both ways, call by call in turn.
func Run(ctx context.Context, c Config) (*Result, error) {
	if !c.Route.Idempotent {
		return nil, errors.Errorf("route %s: want an idempotent route, whose calls need no token", c.Route.Name)
	}
	direct, err := newWay(c.Endpoints)
	if err != nil {
		return nil, errors.Wrap(err, "direct way")
	}
	defer direct.client.Close()
	nodes, err := newWay(c.Nodes)
	if err != nil {
		return nil, errors.Wrap(err, "way through nodes")
	}
	defer nodes.client.Close()
	arrivals, err := schedule(c)
	if err != nil {
		return nil, err
	}
	ways := []*way{direct, nodes}
	var calls sync.WaitGroup
	start, number := time.Now(), 0
	err = arrival.Dispatch(ctx, start, arrivals, func(a arrival.Arrival) {
		number++
		n, w := number, ways[number%len(ways)]
		calls.Go(func() { w.call(ctx, c, n, start.Add(a.At), a.At >= c.Warmup) })
	})
	calls.Wait()
	return newResult(direct, nodes), err
}

func newWay(addresses []string) (*way, error) {
	client, err := caller.New(addresses, caller.WithMaxAttempts(1))
	if err != nil {
		return nil, err
	}
	return &way{client: client, hist: hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}, nil
}

func schedule(c Config) ([]arrival.Arrival, error) {
	total := c.Warmup + c.Duration
	return arrival.Schedule(&experiment.Experiment{
		Name: "overhead", Seed: c.Seed, MaxRequests: maxRequests,
		Phases: []experiment.Phase{{
			Name: "overhead", Kind: experiment.Steady, DurationMs: int(total.Milliseconds()),
			Rates: []experiment.Rate{{Route: c.Route.Name, PerSecond: 2 * c.PerSecond}},
		}},
	})
}

// call makes one call and records its latency when it counts.
func (w *way) call(ctx context.Context, c Config, number int, due time.Time, counts bool) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(c.Route.Timeout()))
	defer cancel()
	request := &caller.Request{
		Method:     c.Route.Method,
		Path:       fmt.Sprintf("%s?number=%d", c.Route.Path, number),
		Header:     http.Header{endpoint.HeaderRequest: {fmt.Sprintf("overhead-%d-%d", c.Seed, number)}},
		Idempotent: true,
	}
	answer, err := w.client.Do(ctx, request)
	latency := time.Since(due)
	if !counts {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || !answer.FromEndpoint() || answer.Status >= http.StatusBadRequest {
		w.failed++
		return
	}
	_ = w.hist.RecordValue(min(max(latency.Microseconds(), lowestMicros), highestMicros)) // within its bounds
}

func (w *way) result() PathLatency {
	return PathLatency{
		Calls:     w.hist.TotalCount() + w.failed,
		Failed:    w.failed,
		P50Micros: w.hist.ValueAtQuantile(50),
		P90Micros: w.hist.ValueAtQuantile(90),
		P99Micros: w.hist.ValueAtQuantile(99),
	}
}

func newResult(direct, nodes *way) *Result {
	r := &Result{Direct: direct.result(), TwoNodes: nodes.result()}
	r.AddedP50Micros = r.TwoNodes.P50Micros - r.Direct.P50Micros
	r.AddedP99Micros = r.TwoNodes.P99Micros - r.Direct.P99Micros
	return r
}
