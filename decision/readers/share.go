package readers

import "time"

// Bounds of the reads of the platform.
const (
	// PlatformRateLimit is the number of reads a second that the platform serves to
	// everyone together.
	PlatformRateLimit = 2000
	// FleetRateLimit is the number of reads a second that the whole fleet may make
	// when every node believes that it is a reader.
	FleetRateLimit = 1200
	// AssumedFleetSize is the number of VMs assumed by a node without a VM list.
	AssumedFleetSize = 6000

	maxNodeRate = 5.0 // reads per second of one node
	minBurst    = 2.0 // reads that a node may save up
	maxBurst    = 10.0
)

// TokenBucket is one node's part of the reads that the fleet may make: a token bucket
// filled at a rate that falls with the size of the fleet. A watch costs one read
// for each second of its wait, as the platform counts it.
type TokenBucket struct {
	tokens float64
	filled time.Duration
}

// NewTokenBucket returns a share that allows one read at first, which is spread over
// StartWindow by the caller, and fills up from then on: the nodes of a fleet that
// starts come to their second reads as far apart as to their first.
func NewTokenBucket(first time.Duration) TokenBucket {
	return TokenBucket{tokens: 1, filled: first}
}

// Reset gives up the reads that were saved. Nodes that scatter at the same time
// come to their next reads spread over the time that the whole fleet needs.
func (s *TokenBucket) Reset(now time.Duration, random float64) {
	s.tokens, s.filled = random, now
}

// Rate returns the reads a second that one of vms nodes may make. vms is 0 when
// the size of the fleet is not known.
func Rate(vms int) float64 {
	if vms <= 0 {
		vms = AssumedFleetSize
	}
	return min(maxNodeRate, FleetRateLimit/float64(vms))
}

// StartPeakRate returns the most reads in one second of vms nodes that start at once
// and read as often as they may. Reads come in waves as wide as StartWindow, one
// for each read that a node makes, and the waves overlap where the fleet is small.
// The peak is the last second of the first wave.
func StartPeakRate(vms int) float64 {
	window, apart := StartWindow.Seconds(), 1/Rate(vms)
	seconds := 0.0 // of waves that come in that second
	for from := 0.0; from < window; from += apart {
		seconds += min(1, window-from)
	}
	return float64(vms) * seconds / window
}

// Take spends up to want reads and returns how many, 0 when there is not one.
func (s *TokenBucket) Take(now time.Duration, vms, want int) int {
	rate := Rate(vms)
	if now > s.filled {
		burst := min(maxBurst, max(minBurst, maxBurst*rate))
		s.tokens = min(burst, s.tokens+(now-s.filled).Seconds()*rate)
		s.filled = now
	}
	granted := min(want, int(s.tokens))
	s.tokens -= float64(granted)
	return granted
}

// Refund gives back reads that never reached the platform.
func (s *TokenBucket) Refund(reads int) {
	s.tokens = min(maxBurst, s.tokens+float64(reads))
}
