package readers

import "time"

// Bounds of the reads of the platform.
const (
	// PlatformLimit is the number of reads a second that the platform serves to
	// everyone together.
	PlatformLimit = 2000
	// FleetLimit is the number of reads a second that the whole fleet may make
	// when every node believes that it is a reader.
	FleetLimit = 800
	// UnknownFleet is the number of VMs assumed by a node without a VM list.
	UnknownFleet = 6000

	maxNodeRate = 5.0 // reads per second of one node
	burst       = 2.0 // reads that a node may save up
)

// Share is one node's part of the reads that the fleet may make: a token bucket
// filled at a rate that falls with the size of the fleet.
type Share struct {
	tokens float64
	filled time.Duration
}

// NewShare returns a share that allows two reads at once.
func NewShare(now time.Duration) Share {
	return Share{tokens: burst, filled: now}
}

// Rate returns the reads a second that one of vms nodes may make.
func Rate(vms int) float64 {
	if vms <= 0 {
		vms = UnknownFleet
	}
	return min(maxNodeRate, FleetLimit/float64(vms))
}

// Take spends one read if there is one. vms is the size of the fleet, 0 when it
// is not known.
func (s *Share) Take(now time.Duration, vms int) bool {
	if now > s.filled {
		s.tokens = min(burst, s.tokens+(now-s.filled).Seconds()*Rate(vms))
		s.filled = now
	}
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// Refund gives back a read that never reached the platform.
func (s *Share) Refund() {
	s.tokens = min(burst, s.tokens+1)
}
