// Package stopping defines the phases of the planned stop of a node. It handles rolling
// restarts under load: clients need time to learn that the node is leaving, the capacity
// of its endpoint is missing in the meantime, and no accepted request may be aborted.
package stopping

import "time"

// Phase is a phase of the stop. Each phase also refuses what the earlier ones refuse.
type Phase uint8

// The phases.
const (
	// Announcing accepts all requests while clients are informed of the stop.
	Announcing Phase = iota
	// Draining refuses calls for the local endpoint.
	Draining
	// Refusing also refuses requests of clients. Calls made by the local endpoint belong
	// to requests in flight and are still accepted.
	Refusing
	// Withdrawing also takes back requests that no endpoint has got, while there is time to
	// prove that.
	Withdrawing
	// Concluding also ends requests in flight that hold up ready responses on the same
	// connection, so that there is time to write these.
	Concluding
	// Finished ends the process.
	Finished
)

const (
	// drainAfter is the start of Draining. It leaves enough time for the longest usual
	// call before the end.
	drainAfter = 2200 * time.Millisecond
	// noticeTime is the time within which the platform, which polls the node once a
	// second and acts on two misses, stops routing clients to the node.
	noticeTime = 2500 * time.Millisecond
	// refuseAfter is the start of Refusing. A client cannot expect a stopping node to
	// answer a request sent later.
	refuseAfter = 2900 * time.Millisecond
	// The same times in percent of the whole stop, for stops with a short limit.
	drainAfterPercent  = 36
	noticePercent      = 42
	refuseAfterPercent = 48
	// withdrawPercent is the start of Withdrawing, in percent of the whole stop.
	withdrawPercent = 86
	// concludePercent is the start of Concluding, in percent of the whole stop. Requests that
	// are still running by then may be interrupted.
	concludePercent = 88
	// finishPercent is the part of the stop, in percent, after which requests still in
	// flight are aborted.
	finishPercent = 92
	// writePercent is the part of the stop, in percent, that the last responses may take.
	writePercent = 4
)

// WriteTimeout returns the time for writing the last responses after a stop has reached
// Finished. limit is the maximum duration of the stop.
func WriteTimeout(limit time.Duration) time.Duration {
	return limit * writePercent / 100
}

// PhaseAt returns the phase at a time since the start of the stop. limit is the maximum
// duration of the stop, outstanding the number of requests in flight.
func PhaseAt(since, limit time.Duration, outstanding int) Phase {
	switch {
	case since >= limit*finishPercent/100:
		return Finished
	case since >= min(noticeTime, limit*noticePercent/100) && outstanding == 0:
		return Finished
	case since >= limit*concludePercent/100:
		return Concluding
	case since >= limit*withdrawPercent/100:
		return Withdrawing
	case since >= min(refuseAfter, limit*refuseAfterPercent/100):
		return Refusing
	case since >= min(drainAfter, limit*drainAfterPercent/100):
		return Draining
	default:
		return Announcing
	}
}
