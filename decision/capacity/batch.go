package capacity

import (
	"math"
	"time"
)

const (
	// lateShare is the part of a batch whose answers need not be waited for: one
	// in lateShare calls. The longest are left out at both levels alike.
	lateShare = 16
	// tookMin is the least time to answer that counts. It bounds the weight of a
	// very short one.
	tookMin = 50 * time.Microsecond
	// cutOffFactor estimates the whole time of a call that was given up.
	cutOffFactor = 2
	// blindShare is the part of a batch, one in blindShare calls, that may be cut
	// off. With more the times tell nothing.
	blindShare = 2
)

// sample is the end of one call.
type sample struct {
	took   time.Duration // 0: tells nothing
	cutOff bool          // took is less than the answer would have taken
}

// batch collects the times to answer of the calls handed over at one level.
//
// It is filled by hand-over and not by answer: the first answers to come back
// are the short ones.
type batch struct {
	level   int
	size    int
	started int
	ended   int
	counted int
	cutOff  int
	sum     float64
	squares float64
}

// start counts a call and reports whether the batch needs no further one.
func (b *batch) start() bool {
	b.started++
	return b.started >= b.size
}

// end takes in the end of a call.
func (b *batch) end(s sample) {
	if b.full() {
		return
	}
	b.ended++
	if s.took == 0 {
		return
	}
	if s.cutOff {
		b.cutOff++
		s.took *= cutOffFactor
	}
	b.counted++
	value := math.Log(float64(max(s.took, tookMin)))
	b.sum += value
	b.squares += value * value
}

// blind reports whether too many calls were cut off to learn from the batch.
func (b *batch) blind() bool {
	return b.cutOff*blindShare > b.counted
}

// full reports whether enough calls have ended.
func (b *batch) full() bool {
	return b.ended >= b.size-b.size/lateShare
}

// mean returns the mean logarithm of the time to answer. A few long calls among
// many short ones don't hide the others in it.
func (b *batch) mean() float64 {
	return b.sum / float64(max(1, b.counted))
}

// variance returns the variance of mean.
func (b *batch) variance() float64 {
	n := float64(max(1, b.counted))
	mean := b.mean()
	return max(0, b.squares/n-mean*mean) / n
}
