package adoption

import "time"

// Limits of the gate.
const (
	// StartTimeout bounds the time for which a starting node asks before it takes
	// what it has.
	StartTimeout = 3 * time.Second
	// PullTimeout bounds the further wait for a newer version that a peer named.
	PullTimeout = 10 * time.Second
	// PeersRequired is the number of peers whose answers are enough.
	PeersRequired = 3
)

// StartState is what a node that has just started, or woke up late, has heard.
type StartState struct {
	// Waited is the time since the node began to ask.
	Waited time.Duration
	// PlatformAnswered says that the platform told the newest version, to the
	// node itself or to a peer a moment ago.
	PlatformAnswered bool
	// PeersKnown is the number of other VMs that could be asked, or -1 while
	// the node has no list of VMs.
	PeersKnown int
	// PeersAnswered is the number of peers that told their version.
	PeersAnswered int
	// NewerPending says that a peer named a newer version that has not come yet.
	NewerPending bool
	// HasCandidate says that there is a valid version to take.
	HasCandidate bool
}

// GateDecision says how a node gets its first version into force.
type GateDecision uint8

// The openings.
const (
	// GateWait means that the node goes on asking.
	GateWait GateDecision = iota
	// GateConfirmed means that platform and peers were heard.
	GateConfirmed
	// GateWithoutPeers means that the wait is over and no peer answered.
	GateWithoutPeers
	// GateWithoutPlatform means that the wait is over and only peers answered.
	GateWithoutPlatform
)

var openingNames = [...]string{"wait", "confirmed", "without_peers", "without_platform"}

// String returns the name of the opening.
func (o GateDecision) String() string {
	return openingNames[o]
}

// DecideGate decides whether the newest version heard of may be taken into force.
// When neither platform nor peers answer there is none, and the node waits.
func DecideGate(k StartState) GateDecision {
	if !k.HasCandidate {
		return GateWait
	}
	heard := k.PeersKnown >= 0 && k.PeersAnswered >= min(k.PeersKnown, PeersRequired)
	switch {
	case heard && k.PlatformAnswered && !k.NewerPending:
		return GateConfirmed
	case k.Waited < StartTimeout, k.NewerPending && k.Waited < PullTimeout:
		return GateWait
	case heard && k.PlatformAnswered:
		return GateConfirmed
	case k.PlatformAnswered:
		return GateWithoutPeers
	default:
		return GateWithoutPlatform
	}
}
