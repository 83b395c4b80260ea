// Package admission decides which calls a node passes to its endpoint, which
// wait in a queue and which are refused.
//
// Under overload, calls are shed in one total order of priority, so every
// service along a call chain keeps the same requests.
package admission

import (
	"time"

	"github.com/galenacart/galenacart/decision/priority"
)

// ID identifies one call. It is unique among the calls that a Controller
// holds.
type ID uint64

// Call is a call that requests admission.
type Call struct {
	// ID identifies the call in later decisions.
	ID ID
	// Priority is the call's position in the shedding order.
	Priority priority.Priority
	// Deadline is the process time by which the response must arrive.
	Deadline time.Duration
}

// Decision is an admission decision about one call.
type Decision uint8

// Decisions. The zero value is not a decision.
const (
	// DecisionRun passes the call to the endpoint.
	DecisionRun Decision = iota + 1
	// DecisionQueue queues the call until a CallDecision reports its outcome.
	DecisionQueue
	// DecisionShed refuses the call in favour of more important calls.
	DecisionShed
	// DecisionTooLate refuses the call because its remaining time does not
	// cover the current response time.
	DecisionTooLate
	// DecisionCancelRunning requests the cancellation of a running call. The
	// call stays in flight until Complete reports its end.
	DecisionCancelRunning
)

// CallDecision is the decision about a queued call, or a request to cancel a
// running one.
type CallDecision struct {
	// ID identifies the call.
	ID ID
	// Decision is DecisionRun, DecisionShed, DecisionTooLate or
	// DecisionCancelRunning.
	Decision Decision
}

// Outcome is the way in which a call at the endpoint ended.
type Outcome uint8

// Outcomes.
const (
	// OutcomeAnswered means that the endpoint sent a complete response.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeRefused means that the endpoint proved that it did not start the
	// call.
	OutcomeRefused
	// OutcomeFailed means that the call ended without a complete response.
	OutcomeFailed
	// OutcomeCancelled means that the node cancelled the call.
	OutcomeCancelled
)

// Result describes the end of a call at the endpoint.
type Result struct {
	// Outcome is the way in which the call ended.
	Outcome Outcome
	// Duration is the time from the start of the call at the endpoint to its
	// end.
	Duration time.Duration
	// DownstreamWait is the part of Duration that the endpoint spent waiting
	// for its own calls to other services.
	DownstreamWait time.Duration
}

// Config holds the limits from the catalogue in force.
type Config struct {
	// SlotsMax is the maximum number of calls in flight at the endpoint.
	SlotsMax int
	// QueueMax is the maximum number of queued calls.
	QueueMax int
	// CancelRunning permits the cancellation of running calls of a less
	// important class.
	CancelRunning bool
}

// State is a snapshot for status pages.
type State struct {
	// Limit is the learned limit on calls in flight.
	Limit int
	// Running is the number of calls in flight.
	Running int
	// Queued is the number of queued calls.
	Queued int
	// QueueLimit is the current limit on queued calls.
	QueueLimit int
	// ResponseTime is the current mean response time of the endpoint.
	ResponseTime time.Duration
	// Threshold is the first priority that would be shed now, or
	// priority.Lowest if none would.
	Threshold priority.Priority
}
