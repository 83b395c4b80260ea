package adoption

import "time"

// Limits of the start gate, which holds a starting node back until it has a
// sufficiently recent version.
const (
	// StartTimeout is the maximum time for which a starting node queries platform and
	// peers before it uses the newest version received.
	StartTimeout = 3 * time.Second
	// PullTimeout is the maximum time for which it waits if a peer has announced a newer
	// version.
	PullTimeout = 10 * time.Second
	// PeersRequired is the number of peers whose answers suffice.
	PeersRequired = 3
)

// StartState holds what a node has learnt since it started, or resumed after a pause.
type StartState struct {
	// Waited is the time since the node began to query.
	Waited time.Duration
	// PlatformAnswered says that the platform has reported the newest version, to the
	// node itself or recently to a peer.
	PlatformAnswered bool
	// PeersKnown is the number of other VMs that can be queried, or -1 while the node
	// has no list of VMs.
	PeersKnown int
	// PeersAnswered is the number of peers that have reported their version.
	PeersAnswered int
	// NewerPending says that a peer has announced a newer version that has not been
	// received yet.
	NewerPending bool
	// HasCandidate says that a valid version has been received.
	HasCandidate bool
}

// GateDecision says whether a node may put its first version into force, and on what
// basis.
type GateDecision uint8

// The gate decisions.
const (
	// GateWait means that the node continues to query.
	GateWait GateDecision = iota
	// GateConfirmed means that both platform and peers have answered.
	GateConfirmed
	// GateWithoutPeers means that the wait is over and too few peers have answered.
	GateWithoutPeers
	// GateWithoutPlatform means that the wait is over and the platform has not answered.
	GateWithoutPlatform
)

var gateDecisionNames = [...]string{"wait", "confirmed", "without_peers", "without_platform"}

// String returns the name of the decision.
func (d GateDecision) String() string {
	return gateDecisionNames[d]
}

// DecideGate decides whether the newest version received may be put into force. If
// neither the platform nor any peer answers, there is no candidate and the node waits.
func DecideGate(s StartState) GateDecision {
	if !s.HasCandidate {
		return GateWait
	}
	peersAnswered := s.PeersKnown >= 0 && s.PeersAnswered >= min(s.PeersKnown, PeersRequired)
	switch {
	case peersAnswered && s.PlatformAnswered && !s.NewerPending:
		return GateConfirmed
	case s.Waited < StartTimeout, s.NewerPending && s.Waited < PullTimeout:
		return GateWait
	case peersAnswered && s.PlatformAnswered:
		return GateConfirmed
	case s.PlatformAnswered:
		return GateWithoutPeers
	default:
		return GateWithoutPlatform
	}
}
