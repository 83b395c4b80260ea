// Package slotqueue implements the bounded priority queue in front of an endpoint with
// a published number of slots. Under bursts the endpoint never gets more calls than it
// can run, and a call that would miss its deadline is refused at once, while it can
// still be sent to another endpoint.
package slotqueue

import (
	"slices"
	"time"

	"github.com/galenacart/galenacart/decision/draining"
	"github.com/galenacart/galenacart/decision/ratelimit"
)

const (
	// usableSlotsPercent is the percentage of the slots that is used. Endpoints slow
	// down when nearly all of their slots are in use.
	usableSlotsPercent = 95
	// queueLimitPercent bounds the waiting calls, in percent of the slots. A wait for
	// more than two calls per slot would exceed the deadline anyway.
	queueLimitPercent = 200
	// holdTimeWeight is the weight of one call in the mean hold time of a slot.
	holdTimeWeight = 1.0 / 32
)

// Decision is the decision on a call.
type Decision uint8

// The decisions.
const (
	// Run passes the call to the endpoint.
	Run Decision = iota
	// Wait queues the call.
	Wait
	// Refuse rejects the call.
	Refuse
	// Leave returns the call to its sender, since the endpoint is leaving.
	Leave
)

// Call is a call to the endpoint.
type Call struct {
	// ID identifies the call.
	ID uint64
	// Rank is the rank of its class; 0 is the most important class.
	Rank uint8
	// Deadline is the time by which the answer is due, since the process started.
	Deadline time.Duration
	// EstimatedDuration is the expected duration of the call.
	EstimatedDuration time.Duration
	// TypicalDuration is how long calls of its route have taken, or 0 if that is unknown. It decides
	// whether the call ends before its endpoint leaves.
	TypicalDuration time.Duration
}

// Dequeued is the decision on a call that was waiting.
type Dequeued struct {
	// ID identifies the call.
	ID uint64
	// Decision is Run, Refuse or Leave.
	Decision Decision
}

// Queue tracks the running and waiting calls of one endpoint. It is not safe for
// concurrent use.
type Queue struct {
	slots    int
	running  int
	waiting  []Call        // in dispatch order
	holdTime time.Duration // mean time that a call holds its slot
	rate     ratelimit.Limiter
}

// New returns a queue for an endpoint with the given number of slots.
func New(slots int) *Queue {
	return &Queue{slots: max(slots, 1)}
}

// AwaitFirstAnswer bounds the running calls until the endpoint's first answer.
func (q *Queue) AwaitFirstAnswer() {
	q.rate.AwaitFirstAnswer()
}

// RecordAnswer records an answer of the endpoint that names the calls a second that it
// takes, or 0. It reports whether that has changed.
func (q *Queue) RecordAnswer(now time.Duration, perSecond float64) (changed bool) {
	return q.rate.RecordAnswer(now, perSecond)
}

// SetSlots sets the number of slots of the endpoint.
func (q *Queue) SetSlots(slots int) {
	q.slots = max(slots, 1)
}

// Limit returns the number of calls that may run concurrently.
func (q *Queue) Limit() int {
	return max(q.slots*usableSlotsPercent/100, 1)
}

// Capacity returns the number of running calls at which the endpoint is fully used: less than
// Limit if it has named a rate.
func (q *Queue) Capacity() int {
	return q.rate.Concurrency(q.Limit(), q.holdTime)
}

// Busy returns the number of calls that run or wait.
func (q *Queue) Busy() int {
	return q.running + len(q.waiting)
}

// Running returns the number of calls that run.
func (q *Queue) Running() int {
	return q.running
}

// Offer decides whether a new call runs, waits or is refused.
func (q *Queue) Offer(now time.Duration, c Call) Decision {
	if c.Deadline-now < c.EstimatedDuration/2 {
		return Refuse
	}
	if len(q.waiting) == 0 && q.start(now) {
		return Run
	}
	callsAhead := q.callsAhead(c.Rank)
	if len(q.waiting) >= q.slots*queueLimitPercent/100 || q.estimatedWait(now, callsAhead)+c.EstimatedDuration > c.Deadline-now {
		return Refuse
	}
	q.waiting = slices.Insert(q.waiting, callsAhead, c)
	return Wait
}

// callsAhead returns the number of waiting calls that precede a new one of a rank.
func (q *Queue) callsAhead(rank uint8) int {
	index := len(q.waiting)
	for index > 0 && q.waiting[index-1].Rank > rank {
		index--
	}
	return index
}

// estimatedWait returns the expected wait of a call with the given number ahead of it.
func (q *Queue) estimatedWait(now time.Duration, ahead int) time.Duration {
	forSlot := time.Duration(ahead+1) * q.holdTime / time.Duration(q.Limit())
	return max(forSlot, q.rate.Wait(now, ahead))
}

// start starts a call if a slot is free and the endpoint takes one more.
func (q *Queue) start(now time.Duration) bool {
	if q.running >= q.Limit() || !q.rate.Take(now, q.running) {
		return false
	}
	q.running++
	return true
}

// Finish records the end of a running call that held its slot for holdTime, and appends
// the decisions on waiting calls to out.
func (q *Queue) Finish(now, holdTime time.Duration, out []Dequeued) []Dequeued {
	q.running--
	q.holdTime += time.Duration(float64(holdTime-q.holdTime) * holdTimeWeight)
	return q.Dispatch(now, out)
}

// Dispatch assigns free slots to waiting calls and appends the decisions to out.
func (q *Queue) Dispatch(now time.Duration, out []Dequeued) []Dequeued {
	removed := 0
	for removed < len(q.waiting) && q.running < q.Limit() {
		c := q.waiting[removed]
		if c.Deadline-now < c.EstimatedDuration/2 {
			out = append(out, Dequeued{ID: c.ID, Decision: Refuse})
			removed++
			continue
		}
		if !q.start(now) {
			break
		}
		out = append(out, Dequeued{ID: c.ID, Decision: Run})
		removed++
	}
	q.waiting = slices.Delete(q.waiting, 0, removed)
	return out
}

// Leave removes the waiting calls that are not expected to start and end within the window of an
// endpoint that is leaving, and appends the decisions to out. Less important calls wait longer
// and are removed first.
func (q *Queue) Leave(now time.Duration, w draining.Window, out []Dequeued) []Dequeued {
	kept := q.waiting[:0]
	for _, c := range q.waiting {
		if start := now + q.estimatedWait(now, len(kept)); w.Admits(start, w.Duration(c.TypicalDuration, c.Deadline-start)) {
			kept = append(kept, c)
			continue
		}
		out = append(out, Dequeued{ID: c.ID, Decision: Leave})
	}
	q.waiting = kept
	return out
}

// Cancel removes a waiting call. It returns false if the call is not waiting.
func (q *Queue) Cancel(id uint64) bool {
	index := slices.IndexFunc(q.waiting, func(c Call) bool { return c.ID == id })
	if index < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, index, index+1)
	return true
}
