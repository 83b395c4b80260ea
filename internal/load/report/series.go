package report

import (
	"time"

	"github.com/galenacart/galenacart/internal/load/outcome"
)

// SeriesStep is the time between two points of a series.
const SeriesStep = 500 * time.Millisecond

// Point holds the figures of the requests of one class that arrived within one
// step.
type Point struct {
	// StartMs is the start of the step, in milliseconds.
	StartMs int64 `json:"startMs"`
	// Class is the class.
	Class string `json:"class"`
	// Offered counts the requests.
	Offered int `json:"offered"`
	// Good counts those that were answered completely and in time.
	Good int `json:"good"`
	// P99Ms is the 0.99 quantile of the latency of good requests, in
	// milliseconds.
	P99Ms float64 `json:"p99Ms"`
}

func newSeries(in Input) []Point {
	steps := int((in.Experiment.Duration() + SeriesStep - 1) / SeriesStep)
	var series []Point
	for _, class := range in.Classes {
		tallies := make([]*tally, steps)
		for i := range tallies {
			tallies[i] = newTally()
		}
		for i := range in.Outcomes {
			o := &in.Outcomes[i]
			if step := int(o.Arrival() / SeriesStep); o.Class == class && step < steps {
				tallies[step].add(o)
			}
		}
		for i, t := range tallies {
			series = append(series, Point{
				StartMs: (time.Duration(i) * SeriesStep).Milliseconds(),
				Class:   class,
				Offered: t.offered,
				Good:    t.good,
				P99Ms:   quantileMs(t.latency, quantile99),
			})
		}
	}
	return series
}

// goodShare returns the share of good requests among those that arrived in
// [from, to), and the number of arrivals.
func goodShare(all []outcome.Outcome, from, to time.Duration) (float64, int) {
	offered, good := 0, 0
	for i := range all {
		if at := all[i].Arrival(); at < from || at >= to {
			continue
		}
		offered++
		if all[i].Result == outcome.Complete {
			good++
		}
	}
	return share(good, offered), offered
}
