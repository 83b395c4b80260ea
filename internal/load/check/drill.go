package check

import (
	"fmt"
	"time"

	"github.com/galenacart/galenacart/internal/load/deployment"
	"github.com/galenacart/galenacart/internal/load/outcome"
	"github.com/galenacart/galenacart/internal/load/report"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

// inForceMax bounds the time from a change until it is in force on every VM.
const inForceMax = 16 * time.Second

// Step is one moment of a drill of the platform.
type Step struct {
	// Name says what began.
	Name string `json:"name"`
	// AtNs is the wall clock, in nanoseconds since 1970.
	AtNs int64 `json:"atNs"`
	// ExpectsNewRevision says that every node has to take a newer revision from now on.
	ExpectsNewRevision bool `json:"shows"`
}

// PlatformFailureRun is what is known of a run in which the platform failed.
type PlatformFailureRun struct {
	// Deployment holds the VMs.
	Deployment *deployment.Deployment
	// Steps lists what happened, in its order.
	Steps []Step
	// Outcomes holds what became of each request.
	Outcomes []outcome.Outcome
	// Revisions is what nodes showed.
	Revisions *Revisions
	// EndpointLog is what endpoints logged.
	EndpointLog []truth.Record
}

// Results returns the figures of the run.
func (d *PlatformFailureRun) Results() []BoundResult {
	var rows []BoundResult
	for i := range d.Steps {
		if d.Steps[i].ExpectsNewRevision {
			rows = append(rows, d.inForce(i))
		} else {
			rows = append(rows, d.unchanged(i))
		}
	}
	whole := 0
	for i := range d.Outcomes {
		if d.Outcomes[i].Result == outcome.Complete {
			whole++
		}
	}
	t := report.NewEndpointLogSummary(d.EndpointLog, d.Outcomes)
	return append(rows,
		share("goodput / offered", float64(whole), float64(len(d.Outcomes)), leastGoodput),
		atMost("smaller revision shown", d.Revisions.CountRegressions(), 0, ""),
		atMost("run twice", t.DuplicateRuns, 0, ""),
		atMost("told not run, but run", t.WrongNotRun, 0, ""))
}

// span returns the moments at which a step begins and ends.
func (d *PlatformFailureRun) span(step int) (from, to time.Time) {
	from = time.Unix(0, d.Steps[step].AtNs)
	if step+1 < len(d.Steps) {
		return from, time.Unix(0, d.Steps[step+1].AtNs)
	}
	return from, from.Add(inForceMax)
}

// inForce is the time until every node shows a newer revision than any did
// before the step.
func (d *PlatformFailureRun) inForce(step int) BoundResult {
	var vms []string
	for _, s := range d.Deployment.Services {
		for _, vm := range s.VMs {
			vms = append(vms, vm.Name)
		}
	}
	from, to := d.span(step)
	before, newest := d.Revisions.newest(from), d.Revisions.newest(to)
	last, missing := d.Revisions.spread(vms, newest)
	took := last.Sub(from)
	row := atMost(d.Steps[step].Name+": in force everywhere", float64(took.Milliseconds()), float64(inForceMax.Milliseconds()), " ms")
	if newest <= before || missing > 0 {
		row.Met = false
		row.Value = fmt.Sprintf("revision %d after %d, %d nodes never", newest, before, missing)
	}
	return row
}

// unchanged holds that no node takes a newer revision during a step.
func (d *PlatformFailureRun) unchanged(step int) BoundResult {
	from, to := d.span(step)
	return atMost(d.Steps[step].Name+": newer revisions shown", d.Revisions.newest(to)-d.Revisions.newest(from), 0, "")
}
