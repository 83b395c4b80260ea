package check

import (
	"strconv"
	"strings"
	"time"

	"github.com/galenacart/galenacart/internal/load/outcome"
	"github.com/galenacart/galenacart/internal/load/report"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

// newWorkMax bounds the time from the start of leaving in which new calls may
// still come.
const newWorkMax = 2 * time.Second

// PlannedStop is one planned stop of a process.
type PlannedStop struct {
	// Name is the name of the process: its VM, then "-node" or "-endpoint".
	Name string `json:"name"`
	// AtNs is the wall clock of the signal, in nanoseconds since 1970.
	AtNs int64 `json:"atNs"`
	// EndNs is that of the end of the process.
	EndNs int64 `json:"endNs"`
	// Code is the exit code.
	Code int `json:"code"`
}

// vm returns the VM of the process.
func (s *PlannedStop) vm() string {
	return strings.TrimSuffix(strings.TrimSuffix(s.Name, "-node"), "-endpoint")
}

// Stops is what is known of a run with planned stops.
type Stops struct {
	// Stops lists them.
	Stops []PlannedStop
	// Outcomes holds what became of each request.
	Outcomes []outcome.Outcome
	// EndpointLog is what endpoints logged.
	EndpointLog []truth.Record
}

// Results returns the figures of the run. Every planned stop ends with code 0, no
// request fails, none is cut off at an endpoint, and a VM that leaves gets no
// new call later than newWorkMax.
func (s *Stops) Results() []BoundResult {
	unclean, late, idle := 0, 0, 0
	for i := range s.Stops {
		if s.callsAt(&s.Stops[i], -newWorkMax, 0) == 0 {
			idle++
		}
		if s.Stops[i].Code != 0 {
			unclean++
		}
		late += s.callsAt(&s.Stops[i], newWorkMax, time.Duration(s.Stops[i].EndNs-s.Stops[i].AtNs))
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
		atMost("VMs without calls in the 2 s before", idle, 0, ""),
		atMost("exit code other than 0", unclean, 0, ""),
		atMost("requests without a whole answer", failed, 0, ""),
		atMost("calls cut off at endpoints", len(truth.Unfinished(s.EndpointLog)), 0, ""),
		atMost("new calls later than 2 s after the start of leaving", late, 0, ""),
		atMost("run twice", t.DuplicateRuns, 0, ""),
		atMost("told not run, but run", t.WrongNotRun, 0, ""),
	}
}

// callsAt counts the calls that reached a VM's endpoint between two moments,
// counted from the start of leaving.
func (s *Stops) callsAt(stop *PlannedStop, from, to time.Duration) int {
	count := 0
	for i := range s.EndpointLog {
		r := &s.EndpointLog[i]
		at := time.Duration(r.WallNs - stop.AtNs)
		if r.Kind == truth.Received && r.VM == stop.vm() && at > from && at < to {
			count++
		}
	}
	return count
}
