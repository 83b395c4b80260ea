// Package overhead measures the latency that two nodes add to a call, compared
// with direct calls in the same run.
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

// Config is the configuration of a measurement.
type Config struct {
	// Route is the route that is called. It must be idempotent.
	Route *catalogue.Route
	// Nodes lists the caller addresses of nodes of other services, so that each
	// call passes through two nodes.
	Nodes []string
	// Endpoints lists the endpoints of the route's service.
	Endpoints []string
	// PerSecond is the rate of calls on each path.
	PerSecond float64
	// Warmup is the time at the start that is excluded.
	Warmup time.Duration
	// Duration is the time that is measured.
	Duration time.Duration
	// Seed makes the arrivals repeatable.
	Seed uint64
}

// PathLatency holds the figures of one path. Latency is measured from the intended
// arrival.
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

// Result compares the two paths.
type Result struct {
	// Direct is the path straight to the endpoint.
	Direct PathLatency `json:"direct"`
	// TwoNodes is the path through two nodes.
	TwoNodes PathLatency `json:"twoNodes"`
	// AddedP50Micros is the difference of the medians, in microseconds.
	AddedP50Micros int64 `json:"addedP50Micros"`
	// AddedP99Micros is the difference of the 0.99 quantiles, in microseconds.
	AddedP99Micros int64 `json:"addedP99Micros"`
}

// Bounds of the latency that two nodes add at the 0.99 quantile, in microseconds.
const (
	targetP99Micros = 500
	boundP99Micros  = 1100
)

// Checks compares the result with the target and with the users' bound.
func (r *Result) Checks() []report.Check {
	var all []report.Check
	for _, limit := range []int64{targetP99Micros, boundP99Micros} {
		all = append(all, report.Check{
			Name:  fmt.Sprintf("p99 added ≤ %.1f ms", toMs(limit)),
			Value: fmt.Sprintf("%.3f ms", toMs(r.AddedP99Micros)),
			Met:   r.AddedP99Micros <= limit,
		})
	}
	return all
}

func toMs(micros int64) float64 {
	return float64(micros) / 1000
}

// Range of the histograms, in microseconds, their precision, and the limit on
// requests.
const (
	lowestMicros      = 1
	highestMicros     = 60_000_000
	significantDigits = 3

	maxRequests = 10_000_000
)

// measuredPath is one path under measurement.
type measuredPath struct {
	client *caller.Client
	mu     sync.Mutex
	hist   *hdrhistogram.Histogram
	failed int64
}

// Run measures both paths; successive calls alternate between them.
func Run(ctx context.Context, c Config) (*Result, error) {
	if !c.Route.Idempotent {
		return nil, errors.Errorf("route %s: want an idempotent route, whose calls need no token", c.Route.Name)
	}
	direct, err := newMeasuredPath(c.Endpoints)
	if err != nil {
		return nil, errors.Wrap(err, "direct path")
	}
	defer direct.client.Close()
	nodes, err := newMeasuredPath(c.Nodes)
	if err != nil {
		return nil, errors.Wrap(err, "path through nodes")
	}
	defer nodes.client.Close()
	arrivals, err := scheduleCalls(c)
	if err != nil {
		return nil, err
	}
	paths := []*measuredPath{direct, nodes}
	var calls sync.WaitGroup
	start, number := time.Now(), 0
	err = arrival.Dispatch(ctx, start, arrivals, func(a arrival.Arrival) {
		number++
		n, p := number, paths[number%len(paths)]
		calls.Go(func() { p.measureCall(ctx, c, n, start.Add(a.At), a.At >= c.Warmup) })
	})
	calls.Wait()
	return newResult(direct, nodes), err
}

func newMeasuredPath(addresses []string) (*measuredPath, error) {
	client, err := caller.New(addresses, caller.WithMaxAttempts(1))
	if err != nil {
		return nil, err
	}
	return &measuredPath{client: client, hist: hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}, nil
}

func scheduleCalls(c Config) ([]arrival.Arrival, error) {
	total := c.Warmup + c.Duration
	return arrival.Schedule(&experiment.Experiment{
		Name: "overhead", Seed: c.Seed, MaxRequests: maxRequests,
		Phases: []experiment.Phase{{
			Name: "overhead", Kind: experiment.Steady, DurationMs: int(total.Milliseconds()),
			Rates: []experiment.Rate{{Route: c.Route.Name, PerSecond: 2 * c.PerSecond}},
		}},
	})
}

// measureCall makes one call and records its latency if measured is set.
func (p *measuredPath) measureCall(ctx context.Context, c Config, number int, due time.Time, measured bool) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(c.Route.Timeout()))
	defer cancel()
	request := &caller.Request{
		Method:     c.Route.Method,
		Path:       fmt.Sprintf("%s?number=%d", c.Route.Path, number),
		Header:     http.Header{endpoint.HeaderRequest: {fmt.Sprintf("overhead-%d-%d", c.Seed, number)}},
		Idempotent: true,
	}
	answer, err := p.client.Do(ctx, request)
	latency := time.Since(due)
	if !measured {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || !answer.FromEndpoint() || answer.Status >= http.StatusBadRequest {
		p.failed++
		return
	}
	_ = p.hist.RecordValue(min(max(latency.Microseconds(), lowestMicros), highestMicros)) // never fails: the value is clamped
}

func (p *measuredPath) result() PathLatency {
	return PathLatency{
		Calls:     p.hist.TotalCount() + p.failed,
		Failed:    p.failed,
		P50Micros: p.hist.ValueAtQuantile(50),
		P90Micros: p.hist.ValueAtQuantile(90),
		P99Micros: p.hist.ValueAtQuantile(99),
	}
}

func newResult(direct, nodes *measuredPath) *Result {
	r := &Result{Direct: direct.result(), TwoNodes: nodes.result()}
	r.AddedP50Micros = r.TwoNodes.P50Micros - r.Direct.P50Micros
	r.AddedP99Micros = r.TwoNodes.P99Micros - r.Direct.P99Micros
	return r
}
