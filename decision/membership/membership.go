// Package membership decides the state of a VM from evidence that may conflict: the
// platform's list, which lags, the statuses that nodes report of themselves, links and
// traffic.
package membership

import "time"

// State is the state of a VM.
type State uint8

// The states.
const (
	// Gone means that the VM receives no calls.
	Gone State = iota
	// Live means that the VM accepts new work.
	Live
	// Leaving means that the VM accepts no new work.
	Leaving
)

var stateNames = [...]string{"gone", "live", "leaving"}

// String returns the name of the state.
func (s State) String() string {
	return stateNames[s]
}

// Status is the status that a node last reported of itself.
type Status uint8

// The statuses.
const (
	// StatusUnknown means that no report of the node was received.
	StatusUnknown Status = iota
	// StatusLive means that the node accepts new work.
	StatusLive
	// StatusLeaving means that the node accepts no new work.
	StatusLeaving
	// StatusStopped means that the node's process was about to exit.
	StatusStopped
)

// Listing is the VM's entry in the platform's list.
type Listing uint8

// The listings.
const (
	// Unlisted means that the list does not contain the VM.
	Unlisted Listing = iota
	// ListedLive means that the VM is listed as live.
	ListedLive
	// ListedLeaving means that the VM is listed as leaving.
	ListedLeaving
)

// Times after which evidence expires.
const (
	// ListLag is the maximum lag of the list.
	ListLag = 2 * time.Minute
	// AnswerValidity is the time for which an answer to traffic proves that a VM is
	// running.
	AnswerValidity = 10 * time.Second
)

// Never is the age of evidence that was not observed.
const Never = time.Duration(1<<63 - 1)

// Evidence holds everything that a node knows about a VM.
type Evidence struct {
	// Listing is the VM's entry in the list.
	Listing Listing
	// Linked says that the VM's node responds on a link.
	Linked bool
	// Status is the status that the VM's node last reported.
	Status Status
	// StatusAge is the time since that report.
	StatusAge time.Duration
	// AnsweredAge is the time since traffic was last answered, or Never.
	AnsweredAge time.Duration
	// UnreachableAge is the time since traffic last failed to connect, or Never.
	UnreachableAge time.Duration
}

// Decision is a state and the evidence that determined it.
type Decision struct {
	// State is the state of the VM.
	State State
	// Reason describes the evidence.
	Reason string
}

// Decide returns the state of a VM. First-hand evidence takes precedence over reports: a
// VM that answers is not gone, whatever a list or another node states, and a failure of
// traffic to connect does not remove a listed VM.
func Decide(e Evidence) Decision {
	if e.Linked || e.AnsweredAge < min(AnswerValidity, e.UnreachableAge) {
		return decideAnswering(e)
	}
	switch {
	case e.Status == StatusStopped && (e.Listing == Unlisted || e.StatusAge < ListLag):
		return Decision{Gone, "reported that it is stopping"}
	case e.Listing == ListedLeaving:
		return Decision{Leaving, "listed as leaving"}
	case e.Listing == ListedLive:
		return decideListed(e)
	case e.StatusAge >= ListLag || e.Status == StatusUnknown:
		return Decision{Gone, "not listed"}
	case e.UnreachableAge < AnswerValidity:
		return Decision{Gone, "not listed and unreachable"}
	case e.Status == StatusLeaving:
		return Decision{Leaving, "reported that it is leaving"}
	default:
		return Decision{Live, "reported that it is live, not listed yet"}
	}
}

// decideAnswering decides for a VM that is known to be running.
func decideAnswering(e Evidence) Decision {
	switch {
	case e.Status == StatusLeaving || e.Status == StatusStopped:
		return Decision{Leaving, "reported that it is leaving"}
	case e.Listing == ListedLeaving:
		return Decision{Leaving, "listed as leaving"}
	case e.Linked:
		return Decision{Live, "answers on a link"}
	default:
		return Decision{Live, "answers calls"}
	}
}

// decideListed decides for a VM that is listed as live.
func decideListed(e Evidence) Decision {
	if e.Status == StatusLeaving {
		return Decision{Leaving, "reported that it is leaving"}
	}
	return Decision{Live, "listed as live"}
}
