package inspect

import (
	"io"
	"slices"

	"github.com/galenacart/galenacart/internal/problem"
	"github.com/galenacart/galenacart/internal/status"
	"github.com/galenacart/galenacart/internal/timeline"
)

// Refusal is a refusal with the node that made it.
type Refusal struct {
	status.Refusal
	// VM is the VM of the node.
	VM string
}

// RequestHistory is what the nodes still know of one request.
type RequestHistory struct {
	// Refusals holds its refusals, by wall time.
	Refusals []Refusal
	// Events holds its events, causes before effects.
	Events []timeline.Event
}

// NewRequestHistory collects what the answers hold.
func NewRequestHistory(answers []Answer) *RequestHistory {
	s := &RequestHistory{}
	var logs []*timeline.Log
	for _, a := range answers {
		for _, r := range a.Refusals {
			s.Refusals = append(s.Refusals, Refusal{Refusal: r, VM: a.Summary.VM})
		}
		if a.Events != nil {
			logs = append(logs, a.Events)
		}
	}
	slices.SortStableFunc(s.Refusals, func(a, b Refusal) int { return a.Time.Compare(b.Time) })
	s.Events = timeline.Merge(logs...)
	return s
}

// Empty reports whether no node knows of the request any more.
func (s *RequestHistory) Empty() bool {
	return len(s.Refusals) == 0 && len(s.Events) == 0
}

// storyTime shows the wall time of a refusal.
const storyTime = "2006-01-02 15:04:05.000"

// Write writes the refusals, then the events.
func (s *RequestHistory) Write(w io.Writer) error {
	out := newTable(w, "TIME", "REFUSED BY", "KIND", "REASON")
	for _, r := range s.Refusals {
		out.row(r.Time.UTC().Format(storyTime), r.VM, r.Kind, reasonOf(r))
	}
	if err := out.flush(); err != nil || len(s.Events) == 0 {
		return err
	}
	if _, err := io.WriteString(w, "\n"); err != nil {
		return err
	}
	return timeline.WriteText(w, s.Events)
}

// reasonOf returns what the kind means, with the cause in this case.
func reasonOf(r Refusal) string {
	kind, known := problem.ParseKind(r.Kind)
	if !known {
		return r.Detail
	}
	return withReason(kind.Definition().Title, r.Detail)
}
