package readers

import "time"

// Rate limits for reads of the platform.
const (
	// PlatformRateLimit is the number of reads a second that the platform serves to all
	// its clients together.
	PlatformRateLimit = 2000
	// FleetRateLimit is the number of reads a second that the whole fleet may make when
	// every node considers itself a reader.
	FleetRateLimit = 1200
	// AssumedFleetSize is the number of VMs that a node without a VM list assumes.
	AssumedFleetSize = 6000

	maxNodeRate = 5.0 // reads per second of one node
	minBurst    = 2.0 // unused reads that a node may accumulate
	maxBurst    = 10.0
)

// TokenBucket limits the reads of one node to its share of the fleet's reads. Its fill
// rate falls with the size of the fleet. A watch costs one read for each second of its
// duration, as counted by the platform.
type TokenBucket struct {
	tokens   float64
	refilled time.Duration
}

// NewTokenBucket returns a bucket that allows one read and is refilled from first on.
// The caller spreads first over StartWindow, so that the nodes of a starting fleet make
// their second reads as far apart as their first.
func NewTokenBucket(first time.Duration) TokenBucket {
	return TokenBucket{tokens: 1, refilled: first}
}

// Reset replaces the accumulated reads by random, in [0, 1). The next reads of nodes that
// reset at the same time are spread over the time in which each of them may make one.
func (b *TokenBucket) Reset(now time.Duration, random float64) {
	b.tokens, b.refilled = random, now
}

// Rate returns the number of reads a second that one of vms nodes may make. vms is 0 if
// the size of the fleet is unknown.
func Rate(vms int) float64 {
	if vms <= 0 {
		vms = AssumedFleetSize
	}
	return min(maxNodeRate, FleetRateLimit/float64(vms))
}

// StartPeakRate returns the highest number of reads in one second by vms nodes that start
// simultaneously and read as often as they may. The n-th reads of all nodes are spread
// over one StartWindow each; these windows overlap if the fleet is small. The peak is in
// the last second of the first window.
func StartPeakRate(vms int) float64 {
	window, interval := StartWindow.Seconds(), 1/Rate(vms)
	seconds := 0.0 // of all windows that fall into that second
	for from := 0.0; from < window; from += interval {
		seconds += min(1, window-from)
	}
	return float64(vms) * seconds / window
}

// Take consumes up to want reads and returns the number granted, which may be 0.
func (b *TokenBucket) Take(now time.Duration, vms, want int) int {
	rate := Rate(vms)
	if now > b.refilled {
		burst := min(maxBurst, max(minBurst, maxBurst*rate))
		b.tokens = min(burst, b.tokens+(now-b.refilled).Seconds()*rate)
		b.refilled = now
	}
	granted := min(want, int(b.tokens))
	b.tokens -= float64(granted)
	return granted
}

// Refund returns reads that did not reach the platform.
func (b *TokenBucket) Refund(reads int) {
	b.tokens = min(maxBurst, b.tokens+float64(reads))
}
