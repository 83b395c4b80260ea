package check

import (
	"fmt"
	"time"

	"github.com/galenacart/galenacart/internal/load/deployment"
	"github.com/galenacart/galenacart/internal/load/outcome"
	"github.com/galenacart/galenacart/internal/load/report"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

// maxInForceDelay limits the time from a change until it is in force on every VM.
const maxInForceDelay = 16 * time.Second

// Step is one step of a test with platform failures.
type Step struct {
	// Name is the name of the step.
	Name string `json:"name"`
	// AtNs is the start of the step, in nanoseconds since 1970.
	AtNs int64 `json:"atNs"`
	// ExpectsNewRevision reports whether every node must apply a newer revision
	// during the step.
	ExpectsNewRevision bool `json:"shows"`
}

// PlatformFailureRun holds the records of a run in which the platform failed.
type PlatformFailureRun struct {
	// Deployment holds the VMs.
	Deployment *deployment.Deployment
	// Steps lists the steps in order.
	Steps []Step
	// Outcomes holds the outcome of each request.
	Outcomes []outcome.Outcome
	// Revisions holds the catalogue revisions on the nodes.
	Revisions *Revisions
	// EndpointLog holds the endpoints' logs.
	EndpointLog []truth.Record
}

// Results returns the figures of the run.
func (d *PlatformFailureRun) Results() []BoundResult {
	var results []BoundResult
	for i := range d.Steps {
		if d.Steps[i].ExpectsNewRevision {
			results = append(results, d.checkInForce(i))
		} else {
			results = append(results, d.checkUnchanged(i))
		}
	}
	complete := 0
	for i := range d.Outcomes {
		if d.Outcomes[i].Result == outcome.Complete {
			complete++
		}
	}
	t := report.NewEndpointLogSummary(d.EndpointLog, d.Outcomes)
	return append(results,
		newShareResult("goodput / offered", float64(complete), float64(len(d.Outcomes)), minGoodputShare),
		newMaximumResult("smaller revision shown", d.Revisions.CountRegressions(), 0, ""),
		newMaximumResult("run twice", t.DuplicateRuns, 0, ""),
		newMaximumResult("told not run, but run", t.WrongNotRun, 0, ""))
}

// stepInterval returns the start and the end of a step.
func (d *PlatformFailureRun) stepInterval(step int) (from, to time.Time) {
	from = time.Unix(0, d.Steps[step].AtNs)
	if step+1 < len(d.Steps) {
		return from, time.Unix(0, d.Steps[step+1].AtNs)
	}
	return from, from.Add(maxInForceDelay)
}

// checkInForce returns the time until every node has a newer revision in force
// than any node had before the step.
func (d *PlatformFailureRun) checkInForce(step int) BoundResult {
	var vms []string
	for _, s := range d.Deployment.Services {
		for _, vm := range s.VMs {
			vms = append(vms, vm.Name)
		}
	}
	from, to := d.stepInterval(step)
	before, newest := d.Revisions.newest(from), d.Revisions.newest(to)
	last, missing := d.Revisions.lastReached(vms, newest)
	elapsed := last.Sub(from)
	row := newMaximumResult(d.Steps[step].Name+": in force everywhere", float64(elapsed.Milliseconds()), float64(maxInForceDelay.Milliseconds()), " ms")
	if newest <= before || missing > 0 {
		row.Met = false
		row.Value = fmt.Sprintf("revision %d after %d, %d nodes never", newest, before, missing)
	}
	return row
}

// checkUnchanged checks that no node applies a newer revision during a step.
func (d *PlatformFailureRun) checkUnchanged(step int) BoundResult {
	from, to := d.stepInterval(step)
	return newMaximumResult(d.Steps[step].Name+": newer revisions shown", d.Revisions.newest(to)-d.Revisions.newest(from), 0, "")
}
