package traffic

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// runEntry is one run at an endpoint, as recorded by the endpoint.
type runEntry struct {
	number  int
	id      string // ID of the request
	sending string // ID of the send that caused it
	vm      string
	crashed bool
	status  int
	body    string // the complete answer
}

// answerEntry is one answer, as recorded by the sender of the request.
type answerEntry struct {
	id      string
	sending string
	method  string
	order   int64 // position among all sends and answers of the history
	fence   bool
	status  int
	kind    string
	ran     string
	body    string
	err     error
}

// isComplete reports whether the answer appears to be a complete answer of an
// endpoint.
func (a *answerEntry) isComplete() bool {
	return a.err == nil && a.kind == ""
}

// observations holds what endpoints and callers of one history recorded. The
// oracle uses nothing else.
type observations struct {
	order atomic.Int64

	mu      sync.Mutex
	runs    []*runEntry
	answers []answerEntry
	panics  []string
	sent    map[string]int64 // position of each send, by its ID
}

func newObservations() *observations {
	return &observations{sent: make(map[string]int64)}
}

// run records the start of a run. The ID of the send consists of the request's ID,
// a dot and a number.
func (o *observations) run(sending, vm string, status, filler int) *runEntry {
	id, _, _ := strings.Cut(sending, ".")
	o.mu.Lock()
	defer o.mu.Unlock()
	e := &runEntry{number: len(o.runs) + 1, id: id, sending: sending, vm: vm, status: status}
	e.body = fmt.Sprintf("run %d of %s%s end", e.number, id, strings.Repeat(".", filler))
	o.runs = append(o.runs, e)
	return e
}

func (o *observations) recordSend(sending string) {
	order := o.order.Add(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent[sending] = order
}

func (o *observations) recordAnswer(a answerEntry) {
	a.order = o.order.Add(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answers = append(o.answers, a)
}

// Write receives the log lines of HTTP servers and records panics of handlers.
func (o *observations) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("panic")) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.panics = append(o.panics, string(line))
	}
	return len(line), nil
}

// tally counts events and outcomes over many histories.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func newTally() *tally {
	return &tally{counts: make(map[string]int)}
}

func (t *tally) add(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[name]++
}

// String returns the counters in the order of their names.
func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(t.counts)) {
		fmt.Fprintf(&out, "%8d %s\n", t.counts[name], name)
	}
	return out.String()
}

func (t *tally) count(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[name]
}
