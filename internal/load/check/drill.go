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
	// Shows says that every node has to take a newer revision from now on.
	Shows bool `json:"shows"`
}

// Drill is what is known of a run in which the platform failed.
type Drill struct {
	// Deployment holds the VMs.
	Deployment *deployment.Deployment
	// Steps lists what happened, in its order.
	Steps []Step
	// Outcomes holds what became of each request.
	Outcomes []outcome.Outcome
	// Revisions is what nodes showed.
	Revisions *Revisions
	// Truth is what endpoints logged.
	Truth []truth.Record
}

// Rows returns the figures of the run.
func (d *Drill) Rows() []Row {
	var rows []Row
	for i := range d.Steps {
		if d.Steps[i].Shows {
			rows = append(rows, d.inForce(i))
		} else {
			rows = append(rows, d.unchanged(i))
		}
	}
	whole := 0
	for i := range d.Outcomes {
		if d.Outcomes[i].Result == outcome.Whole {
			whole++
		}
	}
	t := report.NewTruth(d.Truth, d.Outcomes)
	return append(rows,
		share("goodput / offered", float64(whole), float64(len(d.Outcomes)), leastGoodput),
		atMost("smaller revision shown", d.Revisions.Backward(), 0, ""),
		atMost("run twice", t.DoubleRuns, 0, ""),
		atMost("told not run, but run", t.WrongNotRun, 0, ""))
}

// span returns the moments at which a step begins and ends.
func (d *Drill) span(step int) (from, to time.Time) {
	from = time.Unix(0, d.Steps[step].AtNs)
	if step+1 < len(d.Steps) {
		return from, time.Unix(0, d.Steps[step+1].AtNs)
	}
	return from, from.Add(inForceMax)
}

// inForce is the time until every node shows a newer revision than any did
// before the step.
func (d *Drill) inForce(step int) Row {
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
func (d *Drill) unchanged(step int) Row {
	from, to := d.span(step)
	return atMost(d.Steps[step].Name+": newer revisions shown", d.Revisions.newest(to)-d.Revisions.newest(from), 0, "")
}
