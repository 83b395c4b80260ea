package adoption

import "time"

// Limits of the gate.
const (
	// StartWait bounds the time for which a starting node asks before it takes
	// what it has.
	StartWait = 3 * time.Second
	// PullWait bounds the further wait for a newer version that a peer named.
	PullWait = 10 * time.Second
	// PeersAsked is the number of peers whose answers are enough.
	PeersAsked = 3
)

// Knowledge is what a node that has just started, or woke up late, has heard.
type Knowledge struct {
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
	// NewerNamed says that a peer named a newer version that has not come yet.
	NewerNamed bool
	// Candidate says that there is a valid version to take.
	Candidate bool
}

// Opening says how a node gets its first version into force.
type Opening uint8

// The openings.
const (
	// OpeningWait means that the node goes on asking.
	OpeningWait Opening = iota
	// OpeningConfirmed means that platform and peers were heard.
	OpeningConfirmed
	// OpeningWithoutPeers means that the wait is over and no peer answered.
	OpeningWithoutPeers
	// OpeningWithoutPlatform means that the wait is over and only peers answered.
	OpeningWithoutPlatform
)

var openingNames = [...]string{"wait", "confirmed", "without_peers", "without_platform"}

// String returns the name of the opening.
func (o Opening) String() string {
	return openingNames[o]
}

// Open decides whether the newest version heard of may be taken into force.
// When neither platform nor peers answer there is none, and the node waits.
func Open(k Knowledge) Opening {
	if !k.Candidate {
		return OpeningWait
	}
	heard := k.PeersKnown >= 0 && k.PeersAnswered >= min(k.PeersKnown, PeersAsked)
	switch {
	case heard && k.PlatformAnswered && !k.NewerNamed:
		return OpeningConfirmed
	case k.Waited < StartWait, k.NewerNamed && k.Waited < PullWait:
		return OpeningWait
	case heard && k.PlatformAnswered:
		return OpeningConfirmed
	case k.PlatformAnswered:
		return OpeningWithoutPeers
	default:
		return OpeningWithoutPlatform
	}
}
