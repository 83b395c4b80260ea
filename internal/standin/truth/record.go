// Package truth is the exact log of what stand-in endpoints did. Checks read
// it to tell what was run, how often and for how long, whatever the nodes and
// callers believe.
package truth

import "time"

// Kind says what happened to a call or to the endpoint itself.
type Kind string

// The kinds of records.
const (
	// Received means that a call reached the endpoint whole.
	Received Kind = "received"
	// Started means that a call got a slot and its work began.
	Started Kind = "started"
	// Finished means that the work of a call ended and its answer was ready.
	Finished Kind = "finished"
	// Cancelled means that a call was given up, while it waited or ran.
	Cancelled Kind = "cancelled"
	// Refused means that a call was turned away and not started.
	Refused Kind = "refused"
	// Crashed means that a call ended the endpoint's process.
	Crashed Kind = "crashed"
	// ProcessStarted means that the endpoint's process accepts connections.
	ProcessStarted Kind = "up"
	// Draining means that the endpoint began to leave.
	Draining Kind = "draining"
	// ProcessStopped means that the endpoint's process ended as planned.
	ProcessStopped Kind = "down"
)

// Record is one line of the log. Fields about a call are empty in records
// about the endpoint itself.
type Record struct {
	// Kind says what happened.
	Kind Kind `json:"kind"`
	// WallNs is the wall clock, in nanoseconds since 1970.
	WallNs int64 `json:"wallNs"`
	// MonotonicNs is the time since the start of the process, in nanoseconds.
	MonotonicNs int64 `json:"monotonicNs"`
	// VM is the endpoint's VM.
	VM string `json:"vm"`
	// Incarnation identifies the run of the endpoint's process: the wall clock
	// at its start, in nanoseconds since 1970.
	Incarnation int64 `json:"incarnation"`
	// Service is the endpoint's service.
	Service string `json:"service"`
	// Method is the HTTP method of the call.
	Method string `json:"method,omitempty"`
	// Path is the path of the call, without its query.
	Path string `json:"path,omitempty"`
	// Position is the place of the call in the tree of calls below the root
	// request, such as "0.1"; empty for the root.
	Position string `json:"position,omitempty"`
	// Request is the X-Request-Id of the call.
	Request string `json:"request,omitempty"`
	// Attempt is the X-Attempt of the call.
	Attempt string `json:"attempt,omitempty"`
	// Call is the Galenacart-Call of the call.
	Call string `json:"call,omitempty"`
	// RunMs is the time for which the call held a slot, in milliseconds. It is
	// set on finished, cancelled and crashed.
	RunMs float64 `json:"runMs,omitempty"`
	// Status is the HTTP status of the answer, on finished, refused and cancelled.
	Status int `json:"status,omitempty"`
	// Reason says why a call was refused or cancelled.
	Reason string `json:"reason,omitempty"`
}

// Run returns the time for which the call held a slot.
func (r *Record) Run() time.Duration {
	return time.Duration(r.RunMs * float64(time.Millisecond))
}

// ended reports whether the record closes a call that had started.
func (r *Record) ended() bool {
	switch r.Kind {
	case Finished, Crashed:
		return true
	case Cancelled:
		return r.RunMs > 0
	default:
		return false
	}
}
