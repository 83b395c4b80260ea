package report

import (
	"time"

	"github.com/galenacart/galenacart/internal/load/experiment"
	"github.com/galenacart/galenacart/internal/load/outcome"
)

// allClasses is the label of the figures over all classes.
const allClasses = "all"

// Overload holds the figures of one overload and the recovery from it.
type Overload struct {
	// Phase is the index of the phase.
	Phase int `json:"phase"`
	// Slowed reports whether a service was slowed down in the phase.
	Slowed bool `json:"slowed"`
	// Classes holds the figures over all classes, then those of each class.
	Classes []OverloadClass `json:"classes"`
}

// OverloadClass holds the recovery from an overload for one class.
type OverloadClass struct {
	// Class is the class, or "all".
	Class string `json:"class"`
	// Recovery holds the time until goodput recovered.
	Recovery Recovery `json:"recovery"`
	// AfterShare is the share of good requests among those that arrived between
	// RecoveryBound after the overload and the next overload or the end.
	AfterShare float64 `json:"afterShare"`
	// P99BeforeMs is the 0.99 quantile of the latency of good requests in the
	// steady phases before, in milliseconds.
	P99BeforeMs float64 `json:"p99BeforeMs"`
	// P99AfterMs is the same for the requests that AfterShare covers.
	P99AfterMs float64 `json:"p99AfterMs"`
}

// P99Ratio returns the ratio of the latency after the overload to that before,
// or 0 when either is unknown.
func (c *OverloadClass) P99Ratio() float64 {
	if c.P99BeforeMs == 0 {
		return 0
	}
	return c.P99AfterMs / c.P99BeforeMs
}

// newOverloads evaluates each overload of an experiment.
func newOverloads(in Input) []Overload {
	var all []Overload
	var before []span // steady phases so far
	var start time.Duration
	for p := range in.Experiment.Phases {
		phase := &in.Experiment.Phases[p]
		end := start + phase.Duration()
		switch phase.Kind {
		case experiment.Steady:
			before = append(before, span{start, end})
		case experiment.Overload:
			after := span{end, end + durationUntilOverload(in.Experiment.Phases[p+1:])}
			all = append(all, newOverload(in, p, before, after))
		default:
		}
		start = end
	}
	return all
}

// durationUntilOverload returns the total duration of the phases before the next
// overload.
func durationUntilOverload(phases []experiment.Phase) time.Duration {
	var length time.Duration
	for i := range phases {
		if phases[i].Kind == experiment.Overload {
			break
		}
		length += phases[i].Duration()
	}
	return length
}

func newOverload(in Input, phase int, before []span, after span) Overload {
	o := Overload{Phase: phase, Slowed: len(in.Experiment.Phases[phase].Slow) > 0}
	o.Classes = append(o.Classes, newOverloadClass(allClasses, in.Outcomes, before, after))
	for _, class := range in.Classes {
		o.Classes = append(o.Classes, newOverloadClass(class, filterClass(in.Outcomes, class), before, after))
	}
	return o
}

func newOverloadClass(class string, all []outcome.Outcome, before []span, after span) OverloadClass {
	c := OverloadClass{Class: class, Recovery: newRecovery(all, before, after)}
	later := span{after.from + RecoveryBound, after.to}
	c.AfterShare, _ = goodShare(all, later.from, later.to)
	c.P99BeforeMs = p99Ms(all, before...)
	c.P99AfterMs = p99Ms(all, later)
	return c
}

func filterClass(all []outcome.Outcome, class string) []outcome.Outcome {
	var found []outcome.Outcome
	for i := range all {
		if all[i].Class == class {
			found = append(found, all[i])
		}
	}
	return found
}

// p99Ms returns the 0.99 quantile of the latency of good requests that arrived
// in any of the spans, in milliseconds, or 0 without any.
func p99Ms(all []outcome.Outcome, spans ...span) float64 {
	h := newHistogram()
	for i := range all {
		o := &all[i]
		for _, s := range spans {
			if o.Result == outcome.Complete && o.Arrival() >= s.from && o.Arrival() < s.to {
				recordLatency(h, o.Latency())
			}
		}
	}
	return quantileMs(h, quantile99)
}
