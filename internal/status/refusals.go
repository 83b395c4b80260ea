package status

import (
	"sync"
	"time"

	"github.com/galenacart/galenacart/internal/problem"
)

const (
	// maxRefusals bounds the retained refusals of one node.
	maxRefusals = 512
	// maxTextBytes bounds the correlation ID and the detail of a retained refusal.
	maxTextBytes = 256
)

// Refusals retains the newest refusals of a node in a ring buffer. It is safe for concurrent use.
type Refusals struct {
	mu      sync.Mutex
	entries []refusalEntry
	oldest  int
}

// refusalEntry is a Refusal before its kind is converted to text.
type refusalEntry struct {
	time        time.Time
	correlation string
	kind        problem.Kind
	detail      string
}

// NewRefusals returns an empty list.
func NewRefusals() *Refusals {
	return &Refusals{entries: make([]refusalEntry, 0, maxRefusals)}
}

// Add records one refusal and drops the oldest one when the list is full. now is
// wall time. Long texts are truncated.
func (r *Refusals) Add(now time.Time, correlation string, kind problem.Kind, detail string) {
	e := refusalEntry{time: now, correlation: truncate(correlation), kind: kind, detail: truncate(detail)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) < maxRefusals {
		r.entries = append(r.entries, e)
		return
	}
	r.entries[r.oldest] = e
	r.oldest = (r.oldest + 1) % maxRefusals
}

// List returns the retained refusals, the oldest first.
func (r *Refusals) List() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Refusal, 0, len(r.entries))
	for i := range r.entries {
		e := r.entries[(r.oldest+i)%len(r.entries)]
		list = append(list, Refusal{
			Time:        e.time,
			Correlation: e.correlation,
			Kind:        e.kind.String(),
			Detail:      e.detail,
		})
	}
	return list
}

// ByCorrelation returns the retained refusals of one request, the oldest first.
func (r *Refusals) ByCorrelation(correlation string) []Refusal {
	matching := []Refusal{}
	for _, refusal := range r.List() {
		if refusal.Correlation == correlation {
			matching = append(matching, refusal)
		}
	}
	return matching
}

// CountSince counts the retained refusals that are not older than a wall time.
func (r *Refusals) CountSince(start time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for i := range r.entries {
		if !r.entries[i].time.Before(start) {
			count++
		}
	}
	return count
}

func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return text[:maxTextBytes]
}
