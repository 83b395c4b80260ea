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

// runEntry is one run at an endpoint, as the endpoint itself saw it.
type runEntry struct {
	number  int
	id      string // the request
	sending string // the sending that brought it
	vm      string
	crashed bool
	status  int
	body    string // the whole answer
}

// answerEntry is one answer, as the one who asked saw it.
type answerEntry struct {
	id      string
	sending string
	method  string
	order   int64 // place among all sendings and answers of the history
	fence   bool
	status  int
	kind    string
	ran     string
	body    string
	err     error
}

// whole reports whether the caller takes the answer for an endpoint's whole one.
func (a *answerEntry) whole() bool {
	return a.err == nil && a.kind == ""
}

// ledger holds what endpoints and callers of one history saw. The oracle reads
// nothing else.
type ledger struct {
	order atomic.Int64

	mu      sync.Mutex
	runs    []*runEntry
	answers []answerEntry
	panics  []string
	sent    map[string]int64 // the order of each sending
}

func newLedger() *ledger {
	return &ledger{sent: make(map[string]int64)}
}

// run notes the start of a run. The sending's name is the request's name, a dot
// and a number.
func (l *ledger) run(sending, vm string, status, filler int) *runEntry {
	id, _, _ := strings.Cut(sending, ".")
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &runEntry{number: len(l.runs) + 1, id: id, sending: sending, vm: vm, status: status}
	e.body = fmt.Sprintf("run %d of %s%s end", e.number, id, strings.Repeat(".", filler))
	l.runs = append(l.runs, e)
	return e
}

func (l *ledger) send(sending string) {
	order := l.order.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[sending] = order
}

func (l *ledger) answer(a answerEntry) {
	a.order = l.order.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
}

// Write takes the lines that HTTP servers log and keeps panics of handlers.
func (l *ledger) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("panic")) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.panics = append(l.panics, string(line))
	}
	return len(line), nil
}

// tally counts what happened over many histories.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func newTally() *tally {
	return &tally{counts: make(map[string]int)}
}

func (t *tally) add(what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[what]++
}

// String returns how often each thing happened, in the order of the names.
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
