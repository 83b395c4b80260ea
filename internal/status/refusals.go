package status

import (
	"sync"
	"time"

	"github.com/galenacart/galenacart/internal/problem"
)

const (
	// refusalsKept bounds the recent refusals of one node.
	refusalsKept = 512
	// maxTextBytes bounds the correlation and the detail of a kept refusal.
	maxTextBytes = 256
)

// Refusals keeps the newest refusals of a node. It is safe for concurrent use.
type Refusals struct {
	mu   sync.Mutex
	kept []entry
	next int
}

// entry is a Refusal before its rendering.
type entry struct {
	time        time.Time
	correlation string
	kind        problem.Kind
	detail      string
}

// NewRefusals returns an empty list.
func NewRefusals() *Refusals {
	return &Refusals{kept: make([]entry, 0, refusalsKept)}
}

// Add keeps one refusal, in place of the oldest one when the list is full. now
// is wall time. Long texts are cut.
func (r *Refusals) Add(now time.Time, correlation string, kind problem.Kind, detail string) {
	e := entry{time: now, correlation: cut(correlation), kind: kind, detail: cut(detail)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.kept) < refusalsKept {
		r.kept = append(r.kept, e)
		return
	}
	r.kept[r.next] = e
	r.next = (r.next + 1) % refusalsKept
}

// List returns the kept refusals, the oldest first.
func (r *Refusals) List() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Refusal, 0, len(r.kept))
	for i := range r.kept {
		e := r.kept[(r.next+i)%len(r.kept)]
		list = append(list, Refusal{
			Time:        e.time,
			Correlation: e.correlation,
			Kind:        e.kind.String(),
			Detail:      e.detail,
		})
	}
	return list
}

// ByCorrelation returns the kept refusals of one request, the oldest first.
func (r *Refusals) ByCorrelation(correlation string) []Refusal {
	kept := []Refusal{}
	for _, one := range r.List() {
		if one.Correlation == correlation {
			kept = append(kept, one)
		}
	}
	return kept
}

// CountSince counts the kept refusals that are not older than a wall time.
func (r *Refusals) CountSince(start time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for i := range r.kept {
		if !r.kept[i].time.Before(start) {
			count++
		}
	}
	return count
}

func cut(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return text[:maxTextBytes]
}
