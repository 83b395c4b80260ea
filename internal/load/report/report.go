// Package report computes the results of a load tool run: goodput of complete
// requests, refusals, resends, latency and recovery time.
package report

import (
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/load/experiment"
	"github.com/galenacart/galenacart/internal/load/outcome"
)

// Report holds the results of a run. Shares are between 0 and 1.
type Report struct {
	// Name is the name of the experiment.
	Name string `json:"name"`
	// Label distinguishes reports of one experiment.
	Label string `json:"label"`
	// Seed is the seed of the arrivals.
	Seed uint64 `json:"seed"`
	// Stopped reports whether the run ended before its experiment did.
	Stopped bool `json:"stopped,omitempty"`
	// SendLagP99Ms is the 0.99 quantile of the load tool's own delay of first
	// sends, in milliseconds. A large value invalidates the other figures.
	SendLagP99Ms float64 `json:"sendLagP99Ms"`
	// Phases holds the figures of each phase.
	Phases []PhaseResult `json:"phases"`
	// Overloads holds the figures of each overload.
	Overloads []Overload `json:"overloads,omitempty"`
	// Recovery is the recovery from the last overload over all classes.
	Recovery Recovery `json:"recovery"`
	// RetryBudget is the number of extra attempts that a request may cause; 0
	// when unknown.
	RetryBudget int `json:"retryBudget,omitempty"`
	// Series holds the figures over time.
	Series []Point `json:"series"`
	// EndpointLogSummary holds the figures from the endpoints' logs; nil without
	// logs.
	EndpointLogSummary *EndpointLogSummary `json:"truth,omitempty"`
	// PriorityInversions holds the priority inversions found in these logs; nil
	// without logs.
	PriorityInversions *PriorityInversions `json:"order,omitempty"`
}

// PriorityInversions counts requests that were refused for lack of capacity or
// time.
type PriorityInversions struct {
	// Refused counts those of all classes but the least important.
	Refused int `json:"refused"`
	// Violations counts those over which a less important request that arrived
	// later was preferred.
	Violations int `json:"violations"`
}

// PhaseResult holds the figures of one phase.
type PhaseResult struct {
	// Name is the name of the phase.
	Name string `json:"name"`
	// Kind is the purpose of the phase.
	Kind experiment.Kind `json:"kind"`
	// StartMs is the start of the phase, in milliseconds.
	StartMs int64 `json:"startMs"`
	// EndMs is the end of the phase, in milliseconds.
	EndMs int64 `json:"endMs"`
	// Classes holds the figures by class, in the catalogue's order.
	Classes []ClassResult `json:"classes"`
}

// ClassResult holds the figures of the requests of one class that arrived in one
// phase.
type ClassResult struct {
	// Class is the class.
	Class string `json:"class"`
	// Offered counts the requests.
	Offered int `json:"offered"`
	// Good counts those that were answered completely and in time.
	Good int `json:"good"`
	// OfferedPerSecond is the rate of the requests.
	OfferedPerSecond float64 `json:"offeredPerSecond"`
	// GoodPerSecond is the goodput.
	GoodPerSecond float64 `json:"goodPerSecond"`
	// GoodShare is Good/Offered, or 1 when there was no request.
	GoodShare float64 `json:"goodShare"`
	// IdealPerSecond is the best possible goodput; 0 when unknown.
	IdealPerSecond float64 `json:"idealPerSecond,omitempty"`
	// IdealShare is the rate of complete answers during the phase, divided by
	// IdealPerSecond; or 0.
	IdealShare float64 `json:"ofIdeal,omitempty"`
	// P50Ms is the median latency of good requests, in milliseconds.
	P50Ms float64 `json:"p50Ms"`
	// P90Ms is the 0.9 quantile of the latency, in milliseconds.
	P90Ms float64 `json:"p90Ms"`
	// P99Ms is the 0.99 quantile of the latency, in milliseconds.
	P99Ms float64 `json:"p99Ms"`
	// MaxMs is the largest latency, in milliseconds.
	MaxMs float64 `json:"maxMs"`
	// SendsPerRequest is the mean number of times that callers sent a request.
	SendsPerRequest float64 `json:"sendsPerRequest"`
	// OutcomeCounts counts the requests by outcome, the most frequent first.
	OutcomeCounts []OutcomeCount `json:"endings"`
}

// OutcomeCount is the number of requests with one outcome.
type OutcomeCount struct {
	// Label is the kind of a refusal, or the result of the other requests.
	Label string `json:"label"`
	// Ran is the execution status reported to callers: no, yes or unknown.
	Ran string `json:"ran"`
	// Count counts the requests.
	Count int `json:"count"`
}

// Input holds the data of a run.
type Input struct {
	// Label distinguishes reports of one experiment.
	Label string
	// Experiment is the experiment that was run.
	Experiment *experiment.Experiment
	// Classes lists the classes, the most important first.
	Classes []string
	// Outcomes holds the outcome of each request.
	Outcomes []outcome.Outcome
	// RetryBudget is the number of extra attempts that a request may cause.
	RetryBudget int
}

// New computes a report.
func New(in Input) *Report {
	r := &Report{
		Name:         in.Experiment.Name,
		Label:        in.Label,
		Seed:         in.Experiment.Seed,
		SendLagP99Ms: sendLagP99Ms(in.Outcomes),
		Series:       newSeries(in),
		Overloads:    newOverloads(in),
		RetryBudget:  in.RetryBudget,
	}
	if last := len(r.Overloads) - 1; last >= 0 {
		r.Recovery = r.Overloads[last].Classes[0].Recovery
	}
	var start time.Duration
	for p := range in.Experiment.Phases {
		phase := &in.Experiment.Phases[p]
		end := start + phase.Duration()
		r.Phases = append(r.Phases, newPhase(in, p, start, end))
		start = end
	}
	return r
}

func newPhase(in Input, index int, start, end time.Duration) PhaseResult {
	phase := &in.Experiment.Phases[index]
	result := PhaseResult{
		Name: phase.Name, Kind: phase.Kind,
		StartMs: start.Milliseconds(), EndMs: end.Milliseconds(),
	}
	for _, class := range in.Classes {
		t := newTally()
		for i := range in.Outcomes {
			o := &in.Outcomes[i]
			if o.Phase == index && o.Class == class {
				t.add(o)
			}
		}
		result.Classes = append(result.Classes, t.result(class, phase.Duration()))
	}
	return result
}

func sendLagP99Ms(all []outcome.Outcome) float64 {
	h := newHistogram()
	for i := range all {
		recordLatency(h, time.Duration(all[i].SendLagNs))
	}
	return quantileMs(h, quantile99)
}

const fileMode = 0o644

// WriteFile writes a report as JSON.
func (r *Report) WriteFile(file string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	return errors.Wrap(os.WriteFile(file, append(data, '\n'), fileMode), "write report")
}

// ReadFile reads a report that WriteFile wrote.
func ReadFile(file string) (*Report, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read report")
	}
	r := &Report{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, errors.Wrapf(err, "%s: not a report", file)
	}
	return r, nil
}
