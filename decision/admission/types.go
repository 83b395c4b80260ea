// Package admission decides which calls a node hands to its one endpoint, which
// wait, and which are refused.
//
// Under overload the choice follows one total order of importance, so every
// service along a chain keeps the same requests.
package admission

import (
	"time"

	"github.com/galenacart/galenacart/decision/priority"
)

// ID names one offered call. It is unique among the calls that a Gate holds.
type ID uint64

// Call is a call that asks to be run.
type Call struct {
	// ID names the call in later decisions.
	ID ID
	// Priority is the call's place in the order of importance.
	Priority priority.Priority
	// Deadline is the process time by which the answer must be back.
	Deadline time.Duration
}

// Decision is a decision about one call.
type Decision uint8

// Verdicts. The zero value is none of them.
const (
	// DecisionRun hands the call to the endpoint.
	DecisionRun Decision = iota + 1
	// DecisionQueue keeps the call until a Release tells its fate.
	DecisionQueue
	// DecisionShed refuses the call to make room for more important work.
	DecisionShed
	// DecisionTooLate refuses the call because its remaining time can't cover
	// the current time to answer.
	DecisionTooLate
	// DecisionCancelRunning asks to cancel a running call. The call stays in
	// flight until Done reports it.
	DecisionCancelRunning
)

// CallDecision tells the fate of a call that was queued, or asks to cancel a call
// that is running.
type CallDecision struct {
	// ID names the call.
	ID ID
	// Decision is VerdictRun, VerdictShed, VerdictTooLate or VerdictCancelRunning.
	Decision Decision
}

// Outcome says how a call at the endpoint ended.
type Outcome uint8

// Outcomes.
const (
	// OutcomeAnswered means that the endpoint gave a complete answer.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeRefused means that the endpoint proved that it did not start the
	// call.
	OutcomeRefused
	// OutcomeFailed means that the call ended without a complete answer.
	OutcomeFailed
	// OutcomeCancelled means that the node cancelled the call.
	OutcomeCancelled
)

// Result describes the end of a call at the endpoint.
type Result struct {
	// Outcome says how the call ended.
	Outcome Outcome
	// Duration is the time from hand-over to the end.
	Duration time.Duration
	// DownstreamWait is the part of Took that the endpoint spent on waiting for
	// its own calls to other services.
	DownstreamWait time.Duration
}

// Config holds the ceilings of the catalogue in force.
type Config struct {
	// SlotsMax is the ceiling on calls in flight at the endpoint.
	SlotsMax int
	// QueueMax is the ceiling on calls that wait.
	QueueMax int
	// CancelRunning allows to cancel running calls of a less important class.
	CancelRunning bool
}

// State is a snapshot for status pages.
type State struct {
	// Limit is the learned ceiling on calls in flight.
	Limit int
	// Running is the number of calls in flight.
	Running int
	// Queued is the number of calls that wait.
	Queued int
	// QueueLimit is the current ceiling on calls that wait.
	QueueLimit int
	// ResponseTime is the current time from hand-over to answer.
	ResponseTime time.Duration
	// Threshold is the first priority that was last shed or would be shed now.
	Threshold priority.Priority
}
