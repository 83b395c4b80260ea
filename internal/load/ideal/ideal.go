// Package ideal computes the best possible goodput of a deployment: all slots are
// always busy with requests that succeed, the most important class first.
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
	// PerSecond is the rate of answered requests.
	PerSecond float64
}

// slotDemand holds the slots, by service, that requests occupy or that are
// available (slot seconds per second).
type slotDemand map[string]float64

// PhaseRates returns the best goodput of each class in a phase, in the order of
// the classes. Routes of one class are served in proportion. Arrival rates are
// means, so measured goodput may exceed the result by random variation, and by
// requests that end after the phase.
func PhaseRates(c *catalogue.Catalogue, d *deployment.Deployment, p *experiment.Phase) ([]Rate, error) {
	remaining := slotDemand{}
	for _, s := range d.Services {
		for _, vm := range s.VMs {
			remaining[s.Name] += float64(vm.Slots)
		}
	}
	var rates []Rate
	for i := range c.Classes {
		class := c.Classes[i].Name
		offered, demand, err := classDemand(class, c, d, p)
		if err != nil {
			return nil, err
		}
		share := remaining.feasibleShare(demand)
		for service, slots := range demand {
			remaining[service] -= share * slots
		}
		rates = append(rates, Rate{Class: class, PerSecond: share * offered})
	}
	return rates, nil
}

// classDemand returns the request rate of a class and the slots that these
// requests would occupy.
func classDemand(class string, c *catalogue.Catalogue, d *deployment.Deployment, p *experiment.Phase) (float64, slotDemand, error) {
	offered, demand := 0.0, slotDemand{}
	for _, rate := range p.Rates {
		tree, err := calltree.NewTree(c, d, rate.Route)
		if err != nil {
			return 0, nil, errors.WithMessagef(err, "phase %s", p.Name)
		}
		if tree.Route.Class != class {
			continue
		}
		offered += rate.PerSecond
		demand.addTree(tree, d, p, rate.PerSecond)
	}
	return offered, demand, nil
}

// addTree adds the slots that a call tree occupies at a rate, and returns the time
// for which its root holds a slot, in seconds. A call holds its slot while its
// downstream calls run.
func (l slotDemand) addTree(t *calltree.Tree, d *deployment.Deployment, p *experiment.Phase, perSecond float64) float64 {
	const milliseconds = 1000
	heldSeconds := d.Route(t.Route.Name).ServiceTime.MeanMs / milliseconds
	for _, s := range p.Slow {
		if s.Service == t.Route.Service {
			heldSeconds *= s.Factor
		}
	}
	for _, call := range t.Calls {
		heldSeconds += l.addTree(call, d, p, perSecond)
	}
	l[t.Route.Service] += heldSeconds * perSecond
	return heldSeconds
}

// feasibleShare returns the largest share of a demand, at most 1, that the slots
// in l can serve.
func (l slotDemand) feasibleShare(demand slotDemand) float64 {
	share := 1.0
	for service, slots := range demand {
		if slots > 0 {
			share = min(share, max(l[service], 0)/slots)
		}
	}
	return share
}
