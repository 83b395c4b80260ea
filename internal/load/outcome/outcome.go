// Package outcome records the outcome of each request of a run.
package outcome

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Result is the way in which a request ended for its caller.
type Result string

// The results.
const (
	// Complete means that the complete answer arrived within the timeout.
	Complete Result = "whole"
	// TimedOut means that the timeout expired first.
	TimedOut Result = "late"
	// Refused means that a node answered in place of the endpoint.
	Refused Result = "refused"
	// Failed means that the endpoint answered with an error.
	Failed Result = "failed"
	// InvalidResponse means that an answer arrived but was not the complete answer
	// to the request.
	InvalidResponse Result = "not_whole"
	// NoResponse means that the request ended without an answer before the
	// timeout.
	NoResponse Result = "lost"
)

// Outcome is the outcome of one request.
type Outcome struct {
	// Request is the X-Request-Id.
	Request string `json:"request"`
	// Phase is the index of the phase in which the request arrived.
	Phase int `json:"phase"`
	// Route names the route.
	Route string `json:"route"`
	// Class is the class of the route.
	Class string `json:"class"`
	// Idempotent reports whether the request may safely run more than once.
	Idempotent bool `json:"idempotent"`
	// ArrivalNs is the intended arrival, in nanoseconds from the start.
	ArrivalNs int64 `json:"arrivalNs"`
	// LatencyNs is the time from the intended arrival to the end, in
	// nanoseconds.
	LatencyNs int64 `json:"latencyNs"`
	// SendLagNs is the delay of the first send by the load tool itself, in
	// nanoseconds.
	SendLagNs int64 `json:"sendLagNs"`
	// EndWallNs is the wall clock time of the end, in nanoseconds since 1970.
	EndWallNs int64 `json:"endWallNs"`
	// Result is the way in which the request ended.
	Result Result `json:"result"`
	// Kind is the kind of the node's refusal; for a failed request, that of the
	// refused downstream call; or empty.
	Kind string `json:"kind,omitempty"`
	// Ran is the execution status reported to the caller: no, yes or unknown.
	Ran string `json:"ran"`
	// Status is the HTTP status, or 0.
	Status int `json:"status,omitempty"`
	// Sends counts the times that the caller sent the request.
	Sends int `json:"sends"`
	// Detail describes the failure.
	Detail string `json:"detail,omitempty"`
}

// Arrival returns the intended arrival, counted from the start of the run.
func (o *Outcome) Arrival() time.Duration {
	return time.Duration(o.ArrivalNs)
}

// Latency returns the time from the intended arrival to the end.
func (o *Outcome) Latency() time.Duration {
	return time.Duration(o.LatencyNs)
}

// Label returns the kind of a refusal; for other outcomes the result, with the
// kind of the refusal that caused it.
func (o *Outcome) Label() string {
	switch {
	case o.Result == Refused:
		return o.Kind
	case o.Kind != "":
		return string(o.Result) + "(" + o.Kind + ")"
	default:
		return string(o.Result)
	}
}

// Collector collects outcomes. It is safe for concurrent use.
type Collector struct {
	mu  sync.Mutex
	all []Outcome
}

// Add records one outcome.
func (c *Collector) Add(o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, o)
}

// All returns the outcomes recorded so far.
func (c *Collector) All() []Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Outcome(nil), c.all...)
}

// Write writes outcomes as JSON lines.
func Write(w io.Writer, all []Outcome) error {
	out := bufio.NewWriter(w)
	e := json.NewEncoder(out)
	for i := range all {
		if err := e.Encode(&all[i]); err != nil {
			return errors.Wrap(err, "write outcomes")
		}
	}
	return errors.Wrap(out.Flush(), "write outcomes")
}

// ReadFile reads the outcomes that Write wrote.
func ReadFile(file string) ([]Outcome, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrapf(err, "open %s", file)
	}
	defer func() { _ = f.Close() }()
	var all []Outcome
	d := json.NewDecoder(bufio.NewReader(f))
	for {
		var o Outcome
		err := d.Decode(&o)
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "%s: outcome %d", file, len(all)+1)
		}
		all = append(all, o)
	}
}
