package check

import (
	"fmt"
	"slices"
	"time"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/load/deployment"
	"github.com/galenacart/galenacart/internal/load/experiment"
	"github.com/galenacart/galenacart/internal/load/ideal"
	"github.com/galenacart/galenacart/internal/load/outcome"
	"github.com/galenacart/galenacart/internal/load/report"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

// Bounds of a partition.
const (
	// leastGoodput is the least share of what a side's own endpoints can give.
	leastGoodput = 0.95
	// convergenceMax bounds the time from the heal until every node shows the
	// newest revision.
	convergenceMax = 2 * time.Second
	// afterHeal is the time after the heal for which goodput is counted.
	afterHeal = 5 * time.Second
)

// ZonePartition is one partition of a run: one availability zone cut off from all others
// and from the platform.
type ZonePartition struct {
	// AvailabilityZone was cut off.
	AvailabilityZone string `json:"availabilityZone"`
	// Mode says how, such as blackhole.
	Mode string `json:"mode"`
	// FromNs is the wall clock of the cut, in nanoseconds since 1970.
	FromNs int64 `json:"fromNs"`
	// ToNs is that of the heal.
	ToNs int64 `json:"toNs"`
}

func (c *ZonePartition) from() time.Time { return time.Unix(0, c.FromNs) }
func (c *ZonePartition) to() time.Time   { return time.Unix(0, c.ToNs) }

// PartitionRun is what is known of a run with partitions. The load of every
// availability zone is the same and has one phase.
type PartitionRun struct {
	// Catalogue holds the routes.
	Catalogue *catalogue.Catalogue
	// Deployment holds the VMs.
	Deployment *deployment.Deployment
	// Load is what was played in each availability zone.
	Load *experiment.Experiment
	// Partitions lists the partitions.
	Partitions []ZonePartition
	// Outcomes holds what became of requests, by the zone that they came to.
	Outcomes map[string][]outcome.Outcome
	// Revisions is what nodes showed.
	Revisions *Revisions
	// EndpointLog is what endpoints logged.
	EndpointLog []truth.Record
}

// Results returns the figures of the run.
func (p *PartitionRun) Results() ([]BoundResult, error) {
	var rows []BoundResult
	for i := range p.Partitions {
		more, err := p.cutRows(&p.Partitions[i])
		if err != nil {
			return nil, err
		}
		rows = append(rows, more...)
	}
	var all []outcome.Outcome
	for _, list := range p.Outcomes {
		all = append(all, list...)
	}
	return append(rows, p.commonRows(report.NewEndpointLogSummary(p.EndpointLog, all))...), nil
}

func (p *PartitionRun) commonRows(t *report.EndpointLogSummary) []BoundResult {
	return []BoundResult{
		atMost("smaller revision shown", p.Revisions.CountRegressions(), 0, ""),
		atMost("run twice", t.DuplicateRuns, 0, ""),
		atMost("told not run, but run", t.WrongNotRun, 0, ""),
	}
}

// cutRows returns the figures of one cut: those of each side, and of the heal.
func (p *PartitionRun) cutRows(c *ZonePartition) ([]BoundResult, error) {
	var others []string
	for _, zone := range p.Deployment.AvailabilityZones {
		if zone != c.AvailabilityZone {
			others = append(others, zone)
		}
	}
	var rows []BoundResult
	for _, side := range [][]string{{c.AvailabilityZone}, others} {
		can, err := p.servable(side)
		if err != nil {
			return nil, err
		}
		offered, whole := p.count(side, c.from(), c.to())
		name := fmt.Sprintf("%s %s: side of %v", c.AvailabilityZone, c.Mode, side)
		rows = append(rows,
			share(name+", goodput / ideal", float64(whole), can*float64(offered), leastGoodput),
			atMost(name+", failed after one call timeout", p.lateFailures(side, c), 0, ""))
	}
	can, err := p.servable(p.Deployment.AvailabilityZones)
	if err != nil {
		return nil, err
	}
	offered, whole := p.count(p.Deployment.AvailabilityZones, c.to(), c.to().Add(afterHeal))
	name := fmt.Sprintf("%s %s: after the heal", c.AvailabilityZone, c.Mode)
	return append(rows,
		share(name+", goodput / ideal", float64(whole), can*float64(offered), leastGoodput),
		p.convergence(name, c)), nil
}

// servable returns the share of a side's load that its own endpoints can serve.
func (p *PartitionRun) servable(side []string) (float64, error) {
	d := *p.Deployment
	d.Services = nil
	for _, s := range p.Deployment.Services {
		s.VMs = slices.DeleteFunc(slices.Clone(s.VMs), func(vm deployment.VM) bool {
			return !slices.Contains(side, vm.AvailabilityZone)
		})
		d.Services = append(d.Services, s)
	}
	phase := p.Load.Phases[0]
	phase.Rates = slices.Clone(phase.Rates)
	offered := 0.0
	for i := range phase.Rates {
		phase.Rates[i].PerSecond *= float64(len(side))
		offered += phase.Rates[i].PerSecond
	}
	rates, err := ideal.PhaseRates(p.Catalogue, &d, &phase)
	served := 0.0
	for _, r := range rates {
		served += r.PerSecond
	}
	return served / offered, err
}

// each calls do for the requests that arrived at a side from one moment until
// another.
func (p *PartitionRun) each(side []string, from, to time.Time, do func(o *outcome.Outcome, arrival time.Time)) {
	for _, zone := range side {
		for i := range p.Outcomes[zone] {
			o := &p.Outcomes[zone][i]
			arrival := time.Unix(0, o.EndWallNs-o.LatencyNs)
			if !arrival.Before(from) && arrival.Before(to) {
				do(o, arrival)
			}
		}
	}
}

func (p *PartitionRun) count(side []string, from, to time.Time) (offered, whole int) {
	p.each(side, from, to, func(o *outcome.Outcome, _ time.Time) {
		offered++
		if o.Result == outcome.Complete {
			whole++
		}
	})
	return offered, whole
}

// lateFailures counts the requests that arrived later than their time limit
// after the onset and failed.
func (p *PartitionRun) lateFailures(side []string, c *ZonePartition) int {
	limits := map[string]time.Duration{}
	for i := range p.Catalogue.Routes {
		limits[p.Catalogue.Routes[i].Name] = p.Catalogue.Routes[i].Timeout()
	}
	count := 0
	p.each(side, c.from(), c.to(), func(o *outcome.Outcome, arrival time.Time) {
		if o.Result != outcome.Complete && arrival.Sub(c.from()) > limits[o.Route] {
			count++
		}
	})
	return count
}

// convergence is the time from the heal until every node shows the newest
// revision that one showed by then.
func (p *PartitionRun) convergence(name string, c *ZonePartition) BoundResult {
	var all, inside []string
	for _, s := range p.Deployment.Services {
		for _, vm := range s.VMs {
			all = append(all, vm.Name)
			if vm.AvailabilityZone == c.AvailabilityZone {
				inside = append(inside, vm.Name)
			}
		}
	}
	newest := p.Revisions.newest(c.to())
	last, missing := p.Revisions.spread(all, newest)
	took := max(last.Sub(c.to()), 0)
	row := atMost(name+", newest revision everywhere", float64(took.Milliseconds()), float64(convergenceMax.Milliseconds()), " ms")
	if _, parted := p.Revisions.spread(inside, newest); missing > 0 || parted == 0 && took == 0 {
		row.Met = false
		row.Value += fmt.Sprintf(" (%d nodes never; no change during the cut: %v)", missing, took == 0)
	}
	return row
}
