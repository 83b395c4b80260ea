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
	// minGoodputShare is the minimum goodput, as a share of the capacity of a
	// side's own endpoints.
	minGoodputShare = 0.95
	// maxConvergence limits the time from the heal until every node has the
	// newest revision in force.
	maxConvergence = 2 * time.Second
	// healWindow is the time after the heal for which goodput is counted.
	healWindow = 5 * time.Second
)

// ZonePartition is one partition of a run: one availability zone is disconnected
// from all others and from the platform.
type ZonePartition struct {
	// AvailabilityZone is the disconnected zone.
	AvailabilityZone string `json:"availabilityZone"`
	// Mode is the kind of partition, such as blackhole.
	Mode string `json:"mode"`
	// FromNs is the start of the partition, in nanoseconds since 1970.
	FromNs int64 `json:"fromNs"`
	// ToNs is the time of the heal, in nanoseconds since 1970.
	ToNs int64 `json:"toNs"`
}

func (c *ZonePartition) from() time.Time { return time.Unix(0, c.FromNs) }
func (c *ZonePartition) to() time.Time   { return time.Unix(0, c.ToNs) }

// PartitionRun holds the records of a run with partitions. The load of every
// availability zone is the same and has one phase.
type PartitionRun struct {
	// Catalogue holds the routes.
	Catalogue *catalogue.Catalogue
	// Deployment holds the VMs.
	Deployment *deployment.Deployment
	// Load is the experiment that was run in each availability zone.
	Load *experiment.Experiment
	// Partitions lists the partitions.
	Partitions []ZonePartition
	// Outcomes holds the outcomes of requests, by the zone that received them.
	Outcomes map[string][]outcome.Outcome
	// Revisions holds the catalogue revisions on the nodes.
	Revisions *Revisions
	// EndpointLog holds the endpoints' logs.
	EndpointLog []truth.Record
}

// Results returns the figures of the run.
func (p *PartitionRun) Results() ([]BoundResult, error) {
	var results []BoundResult
	for i := range p.Partitions {
		more, err := p.partitionResults(&p.Partitions[i])
		if err != nil {
			return nil, err
		}
		results = append(results, more...)
	}
	var all []outcome.Outcome
	for _, list := range p.Outcomes {
		all = append(all, list...)
	}
	return append(results, p.commonResults(report.NewEndpointLogSummary(p.EndpointLog, all))...), nil
}

func (p *PartitionRun) commonResults(t *report.EndpointLogSummary) []BoundResult {
	return []BoundResult{
		newMaximumResult("smaller revision shown", p.Revisions.CountRegressions(), 0, ""),
		newMaximumResult("run twice", t.DuplicateRuns, 0, ""),
		newMaximumResult("told not run, but run", t.WrongNotRun, 0, ""),
	}
}

// partitionResults returns the figures of one partition: those of each side, and
// those after the heal.
func (p *PartitionRun) partitionResults(c *ZonePartition) ([]BoundResult, error) {
	var others []string
	for _, zone := range p.Deployment.AvailabilityZones {
		if zone != c.AvailabilityZone {
			others = append(others, zone)
		}
	}
	var results []BoundResult
	for _, side := range [][]string{{c.AvailabilityZone}, others} {
		capacityShare, err := p.servableShare(side)
		if err != nil {
			return nil, err
		}
		offered, whole := p.countRequests(side, c.from(), c.to())
		name := fmt.Sprintf("%s %s: side of %v", c.AvailabilityZone, c.Mode, side)
		results = append(results,
			newShareResult(name+", goodput / ideal", float64(whole), capacityShare*float64(offered), minGoodputShare),
			newMaximumResult(name+", failed after one call timeout", p.lateFailures(side, c), 0, ""))
	}
	capacityShare, err := p.servableShare(p.Deployment.AvailabilityZones)
	if err != nil {
		return nil, err
	}
	offered, whole := p.countRequests(p.Deployment.AvailabilityZones, c.to(), c.to().Add(healWindow))
	name := fmt.Sprintf("%s %s: after the heal", c.AvailabilityZone, c.Mode)
	return append(results,
		newShareResult(name+", goodput / ideal", float64(whole), capacityShare*float64(offered), minGoodputShare),
		p.convergence(name, c)), nil
}

// servableShare returns the share of a side's load that its own endpoints can serve.
func (p *PartitionRun) servableShare(side []string) (float64, error) {
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

// forEachArrival calls do for the requests that arrived at a side in [from, to).
func (p *PartitionRun) forEachArrival(side []string, from, to time.Time, do func(o *outcome.Outcome, arrival time.Time)) {
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

func (p *PartitionRun) countRequests(side []string, from, to time.Time) (offered, whole int) {
	p.forEachArrival(side, from, to, func(o *outcome.Outcome, _ time.Time) {
		offered++
		if o.Result == outcome.Complete {
			whole++
		}
	})
	return offered, whole
}

// lateFailures counts the failed requests that arrived later than one timeout of
// their route after the start of the partition.
func (p *PartitionRun) lateFailures(side []string, c *ZonePartition) int {
	limits := map[string]time.Duration{}
	for i := range p.Catalogue.Routes {
		limits[p.Catalogue.Routes[i].Name] = p.Catalogue.Routes[i].Timeout()
	}
	count := 0
	p.forEachArrival(side, c.from(), c.to(), func(o *outcome.Outcome, arrival time.Time) {
		if o.Result != outcome.Complete && arrival.Sub(c.from()) > limits[o.Route] {
			count++
		}
	})
	return count
}

// convergence returns the time from the heal until every node has the newest
// revision in force that any node had at the heal.
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
	last, missing := p.Revisions.lastReached(all, newest)
	elapsed := max(last.Sub(c.to()), 0)
	row := newMaximumResult(name+", newest revision everywhere", float64(elapsed.Milliseconds()), float64(maxConvergence.Milliseconds()), " ms")
	if _, missingInside := p.Revisions.lastReached(inside, newest); missing > 0 || missingInside == 0 && elapsed == 0 {
		row.Met = false
		row.Value += fmt.Sprintf(" (%d nodes never; no change during the cut: %v)", missing, elapsed == 0)
	}
	return row
}
