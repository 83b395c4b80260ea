package retry

import "time"

// windowBuckets is the number of buckets of a window. A window that starts within a bucket
// overlaps one bucket more, and covers one less in full.
const windowBuckets = 20

// Limit bounds the extra attempts of one node to one service in a window of time.
type Limit struct {
	// Ratio is the number of extra attempts per call.
	Ratio float64
	// Allowance is a number of extra attempts that is granted in addition to Ratio.
	Allowance float64
}

// ServiceBudget limits the extra attempts of one node to one service, in any window of
// time, to a share of the node's recent calls plus a fixed allowance. The calls are the
// maximum over the window itself, the preceding window and the one half a window
// earlier: when fewer calls are admitted because more attempts fail, the admitted ones
// may still be retried. It is not safe for concurrent use.
type ServiceBudget struct {
	calls  [2 * windowBuckets]int
	extra  [windowBuckets + 1]int
	bucket int64 // current
}

// advance moves to the bucket of now and clears the buckets in between. span is the
// length of the window.
func (b *ServiceBudget) advance(now, span time.Duration) {
	bucket := int64(now / (span / windowBuckets))
	for range min(bucket-b.bucket, int64(len(b.calls))) {
		b.bucket++
		b.calls[b.bucket%int64(len(b.calls))] = 0
		b.extra[b.bucket%int64(len(b.extra))] = 0
	}
	b.bucket = bucket
}

// RecordCall records the first attempt of a call.
func (b *ServiceBudget) RecordCall(now, span time.Duration) {
	b.advance(now, span)
	b.calls[b.bucket%int64(len(b.calls))]++
}

// Spend records an extra attempt and returns true if every window that contains it stays
// within its limit, wherever in a bucket the window starts.
func (b *ServiceBudget) Spend(now, span time.Duration, limit Limit) bool {
	b.advance(now, span)
	extra := 0
	for first := b.bucket; first >= b.bucket-windowBuckets && first >= 0; first-- {
		extra += b.extra[first%int64(len(b.extra))]
		if float64(extra+1) > limit.Ratio*float64(b.maxCalls(first))+limit.Allowance {
			return false
		}
	}
	b.extra[b.bucket%int64(len(b.extra))]++
	return true
}

// maxCalls returns the number of calls that determines the limit of a window which starts
// within the bucket first. Only buckets that it covers in full count.
func (b *ServiceBudget) maxCalls(first int64) int {
	return max(
		b.sum(first+1, first+windowBuckets),
		b.sum(first-windowBuckets/2+1, first+windowBuckets/2),
		b.sum(first-windowBuckets+1, first),
	)
}

// sum returns the number of calls in the buckets from start up to, but not
// including, end.
func (b *ServiceBudget) sum(start, end int64) int {
	sum := 0
	for bucket := max(start, 0); bucket < min(end, b.bucket+1); bucket++ {
		sum += b.calls[bucket%int64(len(b.calls))]
	}
	return sum
}
