package check

import (
	"strconv"
	"strings"
	"time"

	"github.com/galenacart/galenacart/internal/load/outcome"
	"github.com/galenacart/galenacart/internal/load/report"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

// maxNewCallDelay limits the time after the start of a planned stop during which
// new calls may still arrive.
const maxNewCallDelay = 2 * time.Second

// PlannedStop is one planned stop of a process.
type PlannedStop struct {
	// Name is the name of the process: its VM, then "-node" or "-endpoint".
	Name string `json:"name"`
	// AtNs is the time of the signal, in nanoseconds since 1970.
	AtNs int64 `json:"atNs"`
	// EndNs is the time at which the process ended, in nanoseconds since 1970.
	EndNs int64 `json:"endNs"`
	// Code is the exit code.
	Code int `json:"code"`
}

// vmName returns the VM of the process.
func (s *PlannedStop) vmName() string {
	return strings.TrimSuffix(strings.TrimSuffix(s.Name, "-node"), "-endpoint")
}

// Stops holds the records of a run with planned stops.
type Stops struct {
	// Stops lists them.
	Stops []PlannedStop
	// Outcomes holds the outcome of each request.
	Outcomes []outcome.Outcome
	// EndpointLog holds the endpoints' logs.
	EndpointLog []truth.Record
}

// Results returns the figures of the run. Every planned stop must end with code
// 0, no request may fail or be interrupted at an endpoint, and a leaving VM must
// receive no new call later than maxNewCallDelay.
func (s *Stops) Results() []BoundResult {
	unclean, late, idle := 0, 0, 0
	for i := range s.Stops {
		if s.countCalls(&s.Stops[i], -maxNewCallDelay, 0) == 0 {
			idle++
		}
		if s.Stops[i].Code != 0 {
			unclean++
		}
		late += s.countCalls(&s.Stops[i], maxNewCallDelay, time.Duration(s.Stops[i].EndNs-s.Stops[i].AtNs))
	}
	failed := 0
	for i := range s.Outcomes {
		if s.Outcomes[i].Result != outcome.Complete {
			failed++
		}
	}
	t := report.NewEndpointLogSummary(s.EndpointLog, s.Outcomes)
	return []BoundResult{
		{Name: "planned stops", Value: strconv.Itoa(len(s.Stops)), Bound: ">= 1", Met: len(s.Stops) > 0},
		{Name: "requests", Value: strconv.Itoa(len(s.Outcomes)), Bound: ">= 1", Met: len(s.Outcomes) > 0},
		newMaximumResult("VMs without calls in the 2 s before", idle, 0, ""),
		newMaximumResult("exit code other than 0", unclean, 0, ""),
		newMaximumResult("requests without a whole answer", failed, 0, ""),
		newMaximumResult("calls cut off at endpoints", len(truth.Unfinished(s.EndpointLog)), 0, ""),
		newMaximumResult("new calls later than 2 s after the start of leaving", late, 0, ""),
		newMaximumResult("run twice", t.DuplicateRuns, 0, ""),
		newMaximumResult("told not run, but run", t.WrongNotRun, 0, ""),
	}
}

// countCalls counts the calls that a VM's endpoint received in an interval
// relative to the start of the planned stop.
func (s *Stops) countCalls(stop *PlannedStop, from, to time.Duration) int {
	count := 0
	for i := range s.EndpointLog {
		r := &s.EndpointLog[i]
		at := time.Duration(r.WallNs - stop.AtNs)
		if r.Kind == truth.Received && r.VM == stop.vmName() && at > from && at < to {
			count++
		}
	}
	return count
}
