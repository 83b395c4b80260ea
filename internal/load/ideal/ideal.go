// Package ideal works out the goodput that a deployment could give at best: all
// slots always busy with work of requests that succeed, the most important
// class first.
package ideal

import (
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/load/calltree"
	"github.com/galenacart/galenacart/internal/load/deployment"
	"github.com/galenacart/galenacart/internal/load/experiment"
)

// Rate is the best goodput of one class.
type Rate struct {
	// Class is the class.
	Class string
	// PerSecond is the number of requests answered a second.
	PerSecond float64
}

// load is slot time for each service: what requests take, or what is there, in
// slots (slot seconds a second).
type load map[string]float64

// PhaseRates returns the best goodput of each class in a phase, in the order of
// the classes. Routes of one class are served in the same share. The rates of
// arrivals are means, so measured goodput may exceed the result by chance, and
// by requests that end after the phase.
func PhaseRates(c *catalogue.Catalogue, d *deployment.Deployment, p *experiment.Phase) ([]Rate, error) {
	left := load{}
	for _, s := range d.Services {
		for _, vm := range s.VMs {
			left[s.Name] += float64(vm.Slots)
		}
	}
	var rates []Rate
	for i := range c.Classes {
		class := c.Classes[i].Name
		offered, demand, err := offeredBy(class, c, d, p)
		if err != nil {
			return nil, err
		}
		share := left.shareOf(demand)
		for service, slots := range demand {
			left[service] -= share * slots
		}
		rates = append(rates, Rate{Class: class, PerSecond: share * offered})
	}
	return rates, nil
}

// offeredBy returns the rate of a class's requests and the slots that they
// would take.
func offeredBy(class string, c *catalogue.Catalogue, d *deployment.Deployment, p *experiment.Phase) (float64, load, error) {
	offered, demand := 0.0, load{}
	for _, rate := range p.Rates {
		tree, err := calltree.NewTree(c, d, rate.Route)
		if err != nil {
			return 0, nil, errors.WithMessagef(err, "phase %s", p.Name)
		}
		if tree.Route.Class != class {
			continue
		}
		offered += rate.PerSecond
		demand.add(tree, d, p, rate.PerSecond)
	}
	return offered, demand, nil
}

// add adds the slots that a tree of calls takes at a rate, and returns the time
// for which its root holds a slot, in seconds. A call holds its slot while the
// calls below it run.
func (l load) add(t *calltree.Tree, d *deployment.Deployment, p *experiment.Phase, perSecond float64) float64 {
	const milliseconds = 1000
	held := d.Route(t.Route.Name).ServiceTime.MeanMs / milliseconds
	for _, s := range p.Slow {
		if s.Service == t.Route.Service {
			held *= s.Factor
		}
	}
	for _, call := range t.Calls {
		held += l.add(call, d, p, perSecond)
	}
	l[t.Route.Service] += held * perSecond
	return held
}

// shareOf returns the largest share of a demand, at most 1, that fits into l.
func (l load) shareOf(demand load) float64 {
	share := 1.0
	for service, slots := range demand {
		if slots > 0 {
			share = min(share, max(l[service], 0)/slots)
		}
	}
	return share
}
