package timeline

import (
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/event"
)

// Loss counts requests of clients that got no answer of an endpoint, or its failure,
// alike in time, route and cause.
type Loss struct {
	// After is the beginning of its step, since the first event.
	After time.Duration
	// Route names the route.
	Route string
	// Reason says how the request ended.
	Reason string
	// RootCause names the failed call that is furthest down the chain, if one is known.
	RootCause string
	// Count is the number of requests.
	Count int
}

// GroupLosses groups the refused and failed requests of clients in steps of time, the
// largest groups of each step first. A step of 0 takes all time together.
func GroupLosses(events []Event, step time.Duration) []Loss {
	x := newIndex(events)
	counts := make(map[Loss]int)
	for i := range events {
		if l, lost := x.lossOf(&events[i]); lost {
			if step > 0 {
				l.After = events[i].Time.Sub(events[0].Time).Truncate(step)
			}
			counts[l]++
		}
	}
	losses := make([]Loss, 0, len(counts))
	for l, count := range counts {
		l.Count = count
		losses = append(losses, l)
	}
	slices.SortFunc(losses, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(a.After, b.After), cmp.Compare(b.Count, a.Count),
			cmp.Compare(a.Route, b.Route), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.RootCause, b.RootCause))
	})
	return losses
}

// lossOf returns what an event tells of a client's request that was lost.
func (x *index) lossOf(e *Event) (Loss, bool) {
	switch e.Number {
	case event.CallRefused:
		return Loss{Route: e.field("route"), Reason: e.field("kind") + ", ran: " + e.field("ran"), RootCause: withoutNames(e.field("detail"))}, true
	case event.EndpointFailed:
		if x.ownCall(e.Correlation) {
			return Loss{}, false
		}
		return Loss{Route: e.field("route"), Reason: "endpoint answered " + e.field("status"), RootCause: x.bottomOf(e.Correlation)}, true
	default:
		return Loss{}, false
	}
}

// ownCall reports whether a request is a call of an endpoint, as far as one that
// failed tells.
func (x *index) ownCall(id string) bool {
	return slices.ContainsFunc(x.requests[id], func(e Event) bool {
		return e.Number == event.OutboundCallRefused || e.Number == event.OutboundCallFailed
	})
}

func (x *index) bottomOf(id string) string {
	bottom := x.whyOf(id, depthMax).deepest()
	switch {
	case bottom == nil:
		return "no failed call is known"
	case bottom.Number == event.OutboundCallFailed:
		return "service " + bottom.field("service") + " answered " + bottom.field("status")
	default:
		return "service " + bottom.field("service") + ": " + withoutNames(bottom.field("detail"))
	}
}

// vmName is the name of a VM in the detail of a refusal.
var vmName = regexp.MustCompile(`^VM [^ ]+?(:| )`)

// withoutNames leaves out which VM refused, so that refusals of one cause are alike.
func withoutNames(detail string) string {
	return vmName.ReplaceAllString(detail, "a VM$1")
}

// WriteLosses prints losses as a table, at most a number of rows of each step.
func WriteLosses(out io.Writer, losses []Loss, rowsMax int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "after\tcount\troute\treason\tdeepest cause") // Flush tells of a failure
	rows, others := 0, 0
	for i, l := range losses {
		if rows < rowsMax {
			_, _ = fmt.Fprintf(w, "%v\t%d\t%s\t%s\t%s\n", l.After, l.Count, l.Route, l.Reason, l.RootCause)
			rows++
		} else {
			others += l.Count
		}
		if i+1 == len(losses) || losses[i+1].After != l.After {
			if others > 0 {
				_, _ = fmt.Fprintf(w, "%v\t%d\tother\t\t\n", l.After, others)
			}
			rows, others = 0, 0
		}
	}
	return errors.Wrap(w.Flush(), "write")
}
