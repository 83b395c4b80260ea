package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of all logs in one order.
//
// Events of nodes are ordered by logical time, then by wall time: no effect
// stands before its cause, whatever the wall clocks say. Processes that carry no
// logical time on their messages are put between them by wall time, each in its
// own order.
func Merge(logs ...*Log) []Event {
	var linked, others []Event
	for _, l := range logs {
		for _, e := range l.Events {
			if e.Number.CausallyOrdered() {
				linked = append(linked, e)
			} else {
				others = append(others, e)
			}
		}
	}
	slices.SortStableFunc(linked, byClock)
	slices.SortStableFunc(others, byTime)
	return interleave(linked, others)
}

func byClock(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Clock, b.Clock),
		a.Time.Compare(b.Time),
		cmp.Compare(a.ProcessName(), b.ProcessName()),
	)
}

func byTime(a, b Event) int {
	return cmp.Or(
		a.Time.Compare(b.Time),
		cmp.Compare(a.ProcessName(), b.ProcessName()),
	)
}

// interleave keeps the order of both lists.
func interleave(linked, others []Event) []Event {
	all := make([]Event, 0, len(linked)+len(others))
	for len(linked) > 0 && len(others) > 0 {
		if others[0].Time.Before(linked[0].Time) {
			all = append(all, others[0])
			others = others[1:]
			continue
		}
		all = append(all, linked[0])
		linked = linked[1:]
	}
	all = append(all, linked...)
	return append(all, others...)
}

// Filter returns the events of one request, in the same order.
func Filter(events []Event, correlation string) []Event {
	var kept []Event
	for _, e := range events {
		if e.Correlation == correlation {
			kept = append(kept, e)
		}
	}
	return kept
}

// ProcessNames returns the names of the processes, ordered by name.
func ProcessNames(events []Event) []string {
	var lanes []string
	for i := range events {
		lanes = append(lanes, events[i].ProcessName())
	}
	slices.Sort(lanes)
	return slices.Compact(lanes)
}
