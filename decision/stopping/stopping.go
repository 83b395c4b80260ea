// Package stopping orders the planned stop of a node. It answers rolling restarts
// under load: clients need time to hear that the node is leaving, the slots of
// its endpoint are missed meanwhile, and nothing that was taken may be cut off.
package stopping

import "time"

// Phase is a part of the stop. Each one includes what those before it refuse.
type Phase uint8

// The phases.
const (
	// Announcing takes everything as before, while clients hear of the stop.
	Announcing Phase = iota
	// Draining refuses calls for the local endpoint.
	Draining
	// Refusing refuses requests of clients as well. Calls of the local endpoint
	// belong to what is in flight and go on.
	Refusing
	// Finished ends the process.
	Finished
)

const (
	// lendTime leaves the longest usual call its time before the end.
	lendTime = 2200 * time.Millisecond
	// noticeTime is the time in which the platform, which asks once a second and
	// believes two misses, takes clients away.
	noticeTime = 2500 * time.Millisecond
	// refuseTime is the time after which a client can't expect an answer of a node
	// that stops.
	refuseTime = 2900 * time.Millisecond
	// The same as shares of the time for the whole stop, in percent, where that is
	// short.
	lendShare   = 36
	noticeShare = 42
	refuseShare = 48
	// latestShare is the share after which whatever is still in flight ends.
	latestShare = 92
)

// PhaseAt returns the phase at a time since the stop began. limit bounds the whole
// stop. outstanding counts what is in flight.
func PhaseAt(since, limit time.Duration, outstanding int) Phase {
	switch {
	case since >= limit*latestShare/100:
		return Finished
	case since >= min(noticeTime, limit*noticeShare/100) && outstanding == 0:
		return Finished
	case since >= min(refuseTime, limit*refuseShare/100):
		return Refusing
	case since >= min(lendTime, limit*lendShare/100):
		return Draining
	default:
		return Announcing
	}
}
