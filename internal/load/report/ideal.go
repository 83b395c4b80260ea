package report

import (
	"github.com/galenacart/galenacart/internal/load/experiment"
	"github.com/galenacart/galenacart/internal/load/ideal"
	"github.com/galenacart/galenacart/internal/load/outcome"
)

// AddIdeal compares the goodput of each phase with the best possible goodput for
// the requests that arrived in it. rates returns the best goodput of each class
// in a phase. Answers after the end of the run count for the last phase. Requests
// queued in one phase and answered in the next can lift the latter above 1.
func (r *Report) AddIdeal(in Input, rates func(*experiment.Phase) ([]ideal.Rate, error)) error {
	for p := range r.Phases {
		arrived := in.Experiment.Phases[p]
		arrived.Rates = actualRates(in, p)
		best, err := rates(&arrived)
		if err != nil {
			return err
		}
		for c := range r.Phases[p].Classes {
			class := &r.Phases[p].Classes[c]
			answeredCount := r.answeredCount(in, p, class.Class)
			class.setIdeal(best, float64(answeredCount)/arrived.Duration().Seconds())
		}
	}
	return nil
}

// IdealShare returns the rate of complete answers during the phase, divided by
// the best possible rate, over all classes; or 0 when the ideal is unknown.
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

// answeredCount counts the complete answers to requests of a class during a phase,
// regardless of when the requests arrived.
func (r *Report) answeredCount(in Input, phase int, class string) int {
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

// setIdeal sets the best goodput of the class and the share of it that was
// reached.
func (c *ClassResult) setIdeal(best []ideal.Rate, answeredPerSecond float64) {
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

// actualRates returns the rates at which requests actually arrived in a phase.
func actualRates(in Input, phase int) []experiment.Rate {
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
