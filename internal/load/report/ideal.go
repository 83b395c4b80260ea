package report

import (
	"github.com/galenacart/galenacart/internal/load/experiment"
	"github.com/galenacart/galenacart/internal/load/ideal"
)

// AddIdeal compares the goodput of each phase with the best that is possible
// for the requests that did arrive. rates returns the best goodput of each
// class in a phase.
func (r *Report) AddIdeal(in Input, rates func(*experiment.Phase) ([]ideal.Rate, error)) error {
	for p := range r.Phases {
		arrived := in.Experiment.Phases[p]
		arrived.Rates = arrivedRates(in, p)
		best, err := rates(&arrived)
		if err != nil {
			return err
		}
		for c := range r.Phases[p].Classes {
			r.Phases[p].Classes[c].compareWith(best)
		}
	}
	return nil
}

// compareWith fills in the best goodput of the class.
func (c *ClassResult) compareWith(best []ideal.Rate) {
	for _, b := range best {
		if b.Class != c.Class {
			continue
		}
		c.IdealPerSecond = b.PerSecond
		if b.PerSecond > 0 {
			c.OfIdeal = c.GoodPerSecond / b.PerSecond
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
