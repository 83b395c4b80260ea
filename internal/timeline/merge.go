package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of all logs in one order.
//
// Events of nodes are ordered by logical time, then by wall time, so that no effect
// precedes its cause even if wall clocks differ. Events of processes whose messages
// carry no logical time are interleaved by wall time; the order within each process
// is kept.
func Merge(logs ...*Log) []Event {
	var causal, others []Event
	for _, l := range logs {
		for _, e := range l.Events {
			if e.Number.CausallyOrdered() {
				causal = append(causal, e)
			} else {
				others = append(others, e)
			}
		}
	}
	slices.SortStableFunc(causal, byClock)
	slices.SortStableFunc(others, byTime)
	return interleave(causal, others)
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

// interleave merges two lists by wall time and keeps the order of each.
func interleave(causal, others []Event) []Event {
	all := make([]Event, 0, len(causal)+len(others))
	for len(causal) > 0 && len(others) > 0 {
		if others[0].Time.Before(causal[0].Time) {
			all = append(all, others[0])
			others = others[1:]
			continue
		}
		all = append(all, causal[0])
		causal = causal[1:]
	}
	all = append(all, causal...)
	return append(all, others...)
}

// Filter returns the events of one request, in the same order.
func Filter(events []Event, correlation string) []Event {
	var matching []Event
	for _, e := range events {
		if e.Correlation == correlation {
			matching = append(matching, e)
		}
	}
	return matching
}

// ProcessNames returns the names of the processes, ordered by name.
func ProcessNames(events []Event) []string {
	var names []string
	for i := range events {
		names = append(names, events[i].ProcessName())
	}
	slices.Sort(names)
	return slices.Compact(names)
}
