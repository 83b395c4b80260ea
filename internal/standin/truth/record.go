// Package truth reads and writes the log of calls that stand-in endpoints
// executed. Checks use it to verify which calls ran, how often and for how long,
// independently of what nodes and callers report.
package truth

import "time"

// Kind is the type of event that a record describes, for a call or for the
// endpoint process.
type Kind string

// Values of Kind.
const (
	// Received means that the endpoint read a complete call.
	Received Kind = "received"
	// Started means that a call acquired a slot and began to execute.
	Started Kind = "started"
	// Finished means that a call completed and its response was ready.
	Finished Kind = "finished"
	// Cancelled means that a call was cancelled while queued or running.
	Cancelled Kind = "cancelled"
	// Refused means that a call was rejected before it started.
	Refused Kind = "refused"
	// Crashed means that a call terminated the endpoint process.
	Crashed Kind = "crashed"
	// ProcessStarted means that the endpoint process accepts connections.
	ProcessStarted Kind = "up"
	// Draining means that the endpoint began to drain before a shutdown.
	Draining Kind = "draining"
	// ProcessStopped means that the endpoint process shut down normally.
	ProcessStopped Kind = "down"
)

// Record is one line of the log. The fields of a call are empty in records about
// the endpoint process.
type Record struct {
	// Kind is the type of event.
	Kind Kind `json:"kind"`
	// WallNs is the wall clock, in nanoseconds since 1970.
	WallNs int64 `json:"wallNs"`
	// MonotonicNs is the time since the start of the process, in nanoseconds.
	MonotonicNs int64 `json:"monotonicNs"`
	// VM is the name of the endpoint's VM.
	VM string `json:"vm"`
	// Incarnation identifies the run of the endpoint process: the wall clock at
	// its start, in nanoseconds since 1970.
	Incarnation int64 `json:"incarnation"`
	// Service is the name of the endpoint's service.
	Service string `json:"service"`
	// Method is the HTTP method of the call.
	Method string `json:"method,omitempty"`
	// Path is the path of the call, without the query string.
	Path string `json:"path,omitempty"`
	// Position is the position of the call in the call tree of the root request,
	// such as "0.1"; empty for the root.
	Position string `json:"position,omitempty"`
	// Request is the X-Request-Id header of the call.
	Request string `json:"request,omitempty"`
	// Attempt is the X-Attempt header of the call.
	Attempt string `json:"attempt,omitempty"`
	// Call is the Galenacart-Call header of the call.
	Call string `json:"call,omitempty"`
	// RunMs is the time for which the call held a slot, in milliseconds. It is set
	// in records of the kinds finished, cancelled and crashed.
	RunMs float64 `json:"runMs,omitempty"`
	// Status is the HTTP status of the response, in records of the kinds finished,
	// refused and cancelled.
	Status int `json:"status,omitempty"`
	// Reason is the reason for a refusal or cancellation.
	Reason string `json:"reason,omitempty"`
}

// Run returns the time for which the call held a slot.
func (r *Record) Run() time.Duration {
	return time.Duration(r.RunMs * float64(time.Millisecond))
}

// ended reports whether the record ends a started call. A call
// cancelled in the queue has no run time.
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
