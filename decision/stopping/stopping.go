// Package stopping defines the phases of the planned stop of a node. It handles rolling
// restarts under load: clients need time to learn that the node is leaving, the capacity
// of its endpoint is missing in the meantime, and no accepted request may be aborted.
package stopping

import (
	"time"

	"github.com/galenacart/galenacart/decision/draining"
)

// Phase is a phase of the stop. Each phase also refuses what the earlier ones refuse.
type Phase uint8

// The phases.
const (
	// Announcing accepts all requests while clients are informed of the stop.
	Announcing Phase = iota
	// Draining refuses calls for the local endpoint.
	Draining
	// Refusing also refuses requests that may not be answered before the end.
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
	// refuseAfter is the start of Refusing. What was accepted before may be interrupted at
	// the end.
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

// answerTime is the time from the end of a request at its endpoint until its answer is written to
// the client.
const answerTime = 100 * time.Millisecond

// Stop is the state of a planned stop. The zero value is that of a node that doesn't stop.
type Stop struct {
	Phase Phase
	// EndsAt is the time at which requests in flight are interrupted. Calls that no endpoint has
	// begun by StartsBefore are taken back.
	EndsAt, StartsBefore time.Duration
}

// At returns the state of a stop that began at a time and may last for limit.
func At(phase Phase, begunAt, limit time.Duration) Stop {
	return Stop{Phase: phase, EndsAt: begunAt + limit*finishPercent/100, StartsBefore: begunAt + limit*withdrawPercent/100}
}

// Window returns the time in which the local endpoint gets calls: they end before the stop does.
// It has no end if the node doesn't stop.
func (s Stop) Window() draining.Window {
	if s.EndsAt == 0 {
		return draining.Window{}
	}
	return draining.Between(s.StartsBefore, s.EndsAt-answerTime)
}

// Request is a request that arrives at a node.
type Request struct {
	// At is the time of its arrival.
	At time.Duration
	// Deadline is the time at which it is answered at the latest.
	Deadline time.Duration
	// ExpiresAt is the time at which its sender gives up. The route's timeout plays no part in it.
	ExpiresAt time.Duration
}

// Admission is the decision on a request that arrives during a stop.
type Admission struct {
	// Accepted says that the request may be sent to an endpoint.
	Accepted bool
	// Deadline is the time by which the endpoint has to answer an accepted request.
	Deadline time.Duration
}

// Admit decides on a request that arrives at a node. parents are the deadlines of the requests that run at
// the local endpoint. From the Refusing phase on, a request is accepted only if something other than an
// estimate ends it before the stop does: its deadline, or a shorter one if it is a call of the local
// endpoint. The request that made the call is interrupted at the end in any case, so the call needs no
// longer.
func (s Stop) Admit(r Request, parents []time.Duration) Admission {
	end := s.EndsAt - answerTime
	switch {
	case s.Phase < Refusing:
		return Admission{Accepted: true, Deadline: r.Deadline}
	case s.Phase >= Finished:
		return Admission{}
	case r.Deadline <= end:
		return Admission{Accepted: true, Deadline: r.Deadline}
	case r.At < s.StartsBefore && isCall(r, parents):
		return Admission{Accepted: true, Deadline: end}
	default:
		return Admission{}
	}
}

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
