// Package membership decides the state of a VM from evidence that disagrees: the
// platform's lagging list, what nodes say of themselves, links and traffic.
package membership

import "time"

// State is the state of a VM.
type State uint8

// The states.
const (
	// Gone means that the VM gets no calls.
	Gone State = iota
	// Live means that the VM takes work.
	Live
	// Leaving means that the VM takes no new work.
	Leaving
)

var stateNames = [...]string{"gone", "live", "leaving"}

// String returns the name of the state.
func (s State) String() string {
	return stateNames[s]
}

// Status is what a node last said of itself.
type Status uint8

// What a node can say.
const (
	// StatusUnknown means that no word of the node was heard.
	StatusUnknown Status = iota
	// StatusLive means that it takes work.
	StatusLive
	// StatusLeaving means that it takes no new work.
	StatusLeaving
	// StatusStopped means that its process was about to end.
	StatusStopped
)

// Listing is the VM's place in the platform's list.
type Listing uint8

// The places.
const (
	// Unlisted means that the list does not hold the VM.
	Unlisted Listing = iota
	// ListedLive means that the list says live.
	ListedLive
	// ListedLeaving means that the list says leaving.
	ListedLeaving
)

// Times after which evidence is worth nothing.
const (
	// ListLag bounds the time by which the list lags.
	ListLag = 2 * time.Minute
	// AnswerValidity is the time for which an answer to traffic proves that a VM
	// lives.
	AnswerValidity = 10 * time.Second
)

// Never is the age of what was not seen.
const Never = time.Duration(1<<63 - 1)

// Evidence is all that a node knows of a VM.
type Evidence struct {
	// Listing is the VM's place in the list.
	Listing Listing
	// Linked says that the VM's node answers on a link.
	Linked bool
	// Status is what the VM's node last said of itself.
	Status Status
	// StatusAge is the time since it said so.
	StatusAge time.Duration
	// AnsweredAge is the time since traffic got an answer, or Never.
	AnsweredAge time.Duration
	// UnreachableAge is the time since traffic could not connect, or Never.
	UnreachableAge time.Duration
}

// Decision is a state with the evidence that decided it.
type Decision struct {
	// State is the state of the VM.
	State State
	// Reason names the evidence.
	Reason string
}

// Decide decides the state of a VM. First-hand evidence goes before reports: a VM
// that answers is not gone, whatever a list or another node says, and a report
// that traffic could not connect does not remove a listed VM.
func Decide(e Evidence) Decision {
	if e.Linked || e.AnsweredAge < min(AnswerValidity, e.UnreachableAge) {
		return findAnswering(e)
	}
	switch {
	case e.Status == StatusStopped && (e.Listing == Unlisted || e.StatusAge < ListLag):
		return Decision{Gone, "said it stops"}
	case e.Listing == ListedLeaving:
		return Decision{Leaving, "listed as leaving"}
	case e.Listing == ListedLive:
		return findListed(e)
	case e.StatusAge >= ListLag || e.Status == StatusUnknown:
		return Decision{Gone, "not listed"}
	case e.UnreachableAge < AnswerValidity:
		return Decision{Gone, "not listed and unreachable"}
	case e.Status == StatusLeaving:
		return Decision{Leaving, "said it leaves"}
	default:
		return Decision{Live, "said it is live, not listed yet"}
	}
}

// findAnswering decides for a VM that is known to run.
func findAnswering(e Evidence) Decision {
	switch {
	case e.Status == StatusLeaving || e.Status == StatusStopped:
		return Decision{Leaving, "said it leaves"}
	case e.Listing == ListedLeaving:
		return Decision{Leaving, "listed as leaving"}
	case e.Linked:
		return Decision{Live, "answers on a link"}
	default:
		return Decision{Live, "answers calls"}
	}
}

// findListed decides for a VM that the list calls live.
func findListed(e Evidence) Decision {
	if e.Status == StatusLeaving {
		return Decision{Leaving, "said it leaves"}
	}
	return Decision{Live, "listed as live"}
}
