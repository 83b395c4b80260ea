package report

import (
	"github.com/galenacart/galenacart/internal/load/experiment"
	"github.com/galenacart/galenacart/internal/load/ideal"
	"github.com/galenacart/galenacart/internal/load/outcome"
)

// AddIdeal compares what was answered during each phase with the best that is
// possible for the requests that did arrive in it. rates returns the best
// goodput of each class in a phase. Answers after the end count for the last
// phase. Work that a phase leaves to the next one can lift that one above 1.
func (r *Report) AddIdeal(in Input, rates func(*experiment.Phase) ([]ideal.Rate, error)) error {
	for p := range r.Phases {
		arrived := in.Experiment.Phases[p]
		arrived.Rates = arrivedRates(in, p)
		best, err := rates(&arrived)
		if err != nil {
			return err
		}
		for c := range r.Phases[p].Classes {
			class := &r.Phases[p].Classes[c]
			answered := r.answered(in, p, class.Class)
			class.compareWith(best, float64(answered)/arrived.Duration().Seconds())
		}
	}
	return nil
}

// IdealShare returns the rate of whole answers that came during the phase, divided
// by the best possible, over all classes; or 0 when that wasn't worked out.
func (p *PhaseResult) IdealShare() float64 {
	answered, best := 0.0, 0.0
	for i := range p.Classes {
		c := &p.Classes[i]
		answered += c.IdealShare * c.IdealPerSecond
		best += c.IdealPerSecond
	}
	if best == 0 {
		return 0
	}
	return answered / best
}

// answered counts the whole answers to requests of a class that came during a
// phase, whenever the requests arrived.
func (r *Report) answered(in Input, phase int, class string) int {
	start, end := r.Phases[phase].StartMs, r.Phases[phase].EndMs
	last := phase == len(r.Phases)-1
	count := 0
	for i := range in.Outcomes {
		o := &in.Outcomes[i]
		ended := (o.Arrival() + o.Latency()).Milliseconds()
		if o.Class == class && o.Result == outcome.Complete && ended >= start && (last || ended < end) {
			count++
		}
	}
	return count
}

// compareWith fills in the best goodput of the class and how near to it the
// answered requests a second came.
func (c *ClassResult) compareWith(best []ideal.Rate, answeredPerSecond float64) {
	for _, b := range best {
		if b.Class != c.Class {
			continue
		}
		c.IdealPerSecond = b.PerSecond
		if b.PerSecond > 0 {
			c.IdealShare = answeredPerSecond / b.PerSecond
		}
	}
}

// arrivedRates returns the rates at which requests did arrive in a phase.
func arrivedRates(in Input, phase int) []experiment.Rate {
	counts := map[string]int{}
	for i := range in.Outcomes {
		if o := &in.Outcomes[i]; o.Phase == phase {
			counts[o.Route]++
		}
	}
	seconds := in.Experiment.Phases[phase].Duration().Seconds()
	var rates []experiment.Rate
	for _, rate := range in.Experiment.Phases[phase].Rates {
		rates = append(rates, experiment.Rate{Route: rate.Route, PerSecond: float64(counts[rate.Route]) / seconds})
	}
	return rates
}
