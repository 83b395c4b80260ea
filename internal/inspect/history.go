package inspect

import (
	"io"
	"slices"

	"github.com/galenacart/galenacart/internal/problem"
	"github.com/galenacart/galenacart/internal/status"
	"github.com/galenacart/galenacart/internal/timeline"
)

// Refusal is a refusal with the VM of the node that sent it.
type Refusal struct {
	status.Refusal
	// VM is the VM of the node.
	VM string
}

// RequestHistory holds the refusals and events of one request that nodes retain.
type RequestHistory struct {
	// Refusals holds its refusals, ordered by wall time.
	Refusals []Refusal
	// Events holds its events in causal order.
	Events []timeline.Event
}

// NewRequestHistory merges the refusals and events of the answers.
func NewRequestHistory(answers []Answer) *RequestHistory {
	h := &RequestHistory{}
	var logs []*timeline.Log
	for _, a := range answers {
		for _, r := range a.Refusals {
			h.Refusals = append(h.Refusals, Refusal{Refusal: r, VM: a.Summary.VM})
		}
		if a.Events != nil {
			logs = append(logs, a.Events)
		}
	}
	slices.SortStableFunc(h.Refusals, func(a, b Refusal) int { return a.Time.Compare(b.Time) })
	h.Events = timeline.Merge(logs...)
	return h
}

// Empty reports whether no node retains refusals or events of the request.
func (s *RequestHistory) Empty() bool {
	return len(s.Refusals) == 0 && len(s.Events) == 0
}

// refusalTimeLayout formats the wall time of a refusal.
const refusalTimeLayout = "2006-01-02 15:04:05.000"

// Write writes the refusals, then the events.
func (s *RequestHistory) Write(w io.Writer) error {
	out := newTable(w, "TIME", "REFUSED BY", "KIND", "REASON")
	for _, r := range s.Refusals {
		out.row(r.Time.UTC().Format(refusalTimeLayout), r.VM, r.Kind, refusalReason(r))
	}
	if err := out.flush(); err != nil || len(s.Events) == 0 {
		return err
	}
	if _, err := io.WriteString(w, "\n"); err != nil {
		return err
	}
	return timeline.WriteText(w, s.Events)
}

// refusalReason returns the title of the error kind, followed by the detail.
func refusalReason(r Refusal) string {
	kind, known := problem.ParseKind(r.Kind)
	if !known {
		return r.Detail
	}
	return withReason(kind.Definition().Title, r.Detail)
}
