package retry

import "time"

// windowBuckets is the number of buckets of a window.
const windowBuckets = 10

// ServiceBudget limits the extra attempts of one node to one service, in any window of
// time, to a share of the node's recent calls plus a fixed allowance. The calls are the
// maximum over the window itself, the preceding window and the one half a window
// earlier: when fewer calls are admitted because more attempts fail, the admitted ones
// may still be retried. It is not safe for concurrent use.
type ServiceBudget struct {
	calls  [2 * windowBuckets]int
	extra  [windowBuckets]int
	bucket int64 // current
}

// advance moves to the bucket of now and clears the buckets in between. span is the
// length of the window.
func (b *ServiceBudget) advance(now, span time.Duration) {
	bucket := int64(now / (span / windowBuckets))
	for range min(bucket-b.bucket, int64(len(b.calls))) {
		b.bucket++
		b.calls[b.bucket%int64(len(b.calls))] = 0
		b.extra[b.bucket%windowBuckets] = 0
	}
	b.bucket = bucket
}

// RecordCall records the first attempt of a call.
func (b *ServiceBudget) RecordCall(now, span time.Duration) {
	b.advance(now, span)
	b.calls[b.bucket%int64(len(b.calls))]++
}

// Spend records an extra attempt and returns true if every window that contains it stays
// within its limit of ratio times the calls plus the allowance.
func (b *ServiceBudget) Spend(now, span time.Duration, ratio, allowance float64) bool {
	b.advance(now, span)
	extra := 0
	for first := b.bucket; first > b.bucket-windowBuckets && first >= 0; first-- {
		extra += b.extra[first%windowBuckets]
		if float64(extra+1) > ratio*float64(b.maxCalls(first))+allowance {
			return false
		}
	}
	b.extra[b.bucket%windowBuckets]++
	return true
}

// maxCalls returns the number of calls that determines the limit of the window starting
// at bucket first.
func (b *ServiceBudget) maxCalls(first int64) int {
	return max(
		b.sum(first, first+windowBuckets),
		b.sum(first-windowBuckets/2, first+windowBuckets/2),
		b.sum(first-windowBuckets, first),
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
