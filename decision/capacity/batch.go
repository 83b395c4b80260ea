package capacity

import (
	"math"
	"time"
)

const (
	// stragglerDivisor divides the size of a batch to give the number of calls
	// whose ends are not awaited. This leaves out the longest calls at both
	// levels alike.
	stragglerDivisor = 16
	// durationMin is the lower bound for sampled durations. It bounds the
	// influence of a very short one on the mean logarithm.
	durationMin = 50 * time.Microsecond
	// censoredFactor scales the duration of an aborted call to estimate the
	// full one.
	censoredFactor = 2
	// censoredDivisor divides the number of samples to give the number of
	// censored ones up to which a batch is conclusive.
	censoredDivisor = 2
)

// sample is the end of one call.
type sample struct {
	duration time.Duration // 0: not sampled
	censored bool          // the full duration would have been longer
}

// batch collects the durations of the calls started at one level.
//
// Calls belong to a batch by their start and not by their end: the first ones
// to end are the short ones.
type batch struct {
	level      int
	size       int
	started    int
	ended      int
	sampled    int
	censored   int
	sum        float64
	sumSquares float64
}

// recordStart counts a call and reports whether the batch has enough of them.
func (b *batch) recordStart() bool {
	b.started++
	return b.started >= b.size
}

// recordEnd records the end of a call.
func (b *batch) recordEnd(s sample) {
	if b.complete() {
		return
	}
	b.ended++
	if s.duration == 0 {
		return
	}
	if s.censored {
		b.censored++
		s.duration *= censoredFactor
	}
	b.sampled++
	value := math.Log(float64(max(s.duration, durationMin)))
	b.sum += value
	b.sumSquares += value * value
}

// inconclusive reports whether too many calls were aborted for the mean to be
// meaningful.
func (b *batch) inconclusive() bool {
	return b.censored*censoredDivisor > b.sampled
}

// complete reports whether enough calls have ended.
func (b *batch) complete() bool {
	return b.ended >= b.size-b.size/stragglerDivisor
}

// mean returns the mean logarithm of the durations. In contrast to the
// arithmetic mean, it is not dominated by a few long calls among many short
// ones.
func (b *batch) mean() float64 {
	return b.sum / float64(max(1, b.sampled))
}

// variance returns the variance of the mean.
func (b *batch) variance() float64 {
	n := float64(max(1, b.sampled))
	mean := b.mean()
	return max(0, b.sumSquares/n-mean*mean) / n
}
