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

// Loss counts client requests that were refused or failed, grouped by time, route and
// cause.
type Loss struct {
	// After is the start of its time step, relative to the first event.
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

// GroupLosses groups the refused and failed requests of clients by time steps, the
// largest groups of each step first. A step of 0 groups all of them together.
func GroupLosses(events []Event, step time.Duration) []Loss {
	x := newIndex(events)
	counts := make(map[Loss]int)
	for i := range events {
		if l, lost := x.lossFromEvent(&events[i]); lost {
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

// lossFromEvent returns the loss that an event reports, if it reports one of a client.
func (x *requestIndex) lossFromEvent(e *Event) (Loss, bool) {
	switch e.Number {
	case event.CallRefused:
		return Loss{Route: e.field("route"), Reason: e.field("kind") + ", ran: " + e.field("ran"), RootCause: withoutVMNames(e.field("detail"))}, true
	case event.EndpointFailed:
		if x.isOutboundCall(e.Correlation) {
			return Loss{}, false
		}
		return Loss{Route: e.field("route"), Reason: "endpoint answered " + e.field("status"), RootCause: x.rootCauseOf(e.Correlation)}, true
	default:
		return Loss{}, false
	}
}

// isOutboundCall reports whether a request is a failed call of an endpoint. Only failed
// calls of endpoints have an event that shows it.
func (x *requestIndex) isOutboundCall(id string) bool {
	return slices.ContainsFunc(x.requests[id], func(e Event) bool {
		return e.Number == event.OutboundCallRefused || e.Number == event.OutboundCallFailed
	})
}

func (x *requestIndex) rootCauseOf(id string) string {
	cause := x.diagnose(id, maxDepth).rootCause()
	switch {
	case cause == nil:
		return "no failed call is known"
	case cause.Number == event.OutboundCallFailed:
		return "service " + cause.field("service") + " answered " + cause.field("status")
	default:
		return "service " + cause.field("service") + ": " + withoutVMNames(cause.field("detail"))
	}
}

// vmNamePattern matches the name of a VM in the detail of a refusal.
var vmNamePattern = regexp.MustCompile(`^VM [^ ]+?(:| )`)

// withoutVMNames removes the name of the VM, so that refusals of one cause are equal.
func withoutVMNames(detail string) string {
	return vmNamePattern.ReplaceAllString(detail, "a VM$1")
}

// WriteLosses prints losses as a table of at most maxRows rows for each step.
func WriteLosses(out io.Writer, losses []Loss, maxRows int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "after\tcount\troute\treason\tdeepest cause") // Flush reports a failure
	rows, others := 0, 0
	for i, l := range losses {
		if rows < maxRows {
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
