// Package slotqueue decides which calls run in the known slots of an endpoint
// and which wait for one. It answers a load that comes in bursts at an endpoint
// whose slots are published: the endpoint never holds more than it can run, and
// what can't be run in its time is refused at once, while it can go elsewhere.
package slotqueue

import (
	"slices"
	"time"
)

const (
	// fullShare is the part of the slots that is used, in percent: endpoints slow
	// down when nearly all of their slots are taken.
	fullShare = 95
	// queueShare bounds the calls that wait, in percent of the slots. Longer
	// waits than two turns are refused by their deadline anyway.
	queueShare = 200
	// tookWeight is the weight of one call in the usual time of a call.
	tookWeight = 1.0 / 32
)

// Decision is what becomes of a call.
type Decision uint8

// The verdicts.
const (
	// Run hands the call to the endpoint.
	Run Decision = iota
	// Wait queues the call.
	Wait
	// Refuse turns the call away.
	Refuse
)

// Call is a call for the endpoint.
type Call struct {
	// ID identifies the call.
	ID uint64
	// Rank is its class in the order of importance; 0 is the highest.
	Rank uint8
	// Deadline is when its answer is due. Times are since the process started.
	Deadline time.Duration
	// EstimatedDuration is the time that a call of its route usually takes.
	EstimatedDuration time.Duration
}

// Dequeued is the verdict on a call that waited.
type Dequeued struct {
	// ID identifies the call.
	ID uint64
	// Decision is Run or Refuse.
	Decision Decision
}

// Queue holds the calls of one endpoint. It is not safe for concurrent use.
type Queue struct {
	slots   int
	running int
	waiting []Call // the next one first
	took    time.Duration
}

// New returns a gate for an endpoint with a number of slots.
func New(slots int) *Queue {
	return &Queue{slots: max(slots, 1)}
}

// SetSlots takes in the number of slots that the endpoint has.
func (g *Queue) SetSlots(slots int) {
	g.slots = max(slots, 1)
}

// Limit returns the number of calls that may run at once.
func (g *Queue) Limit() int {
	return max(g.slots*fullShare/100, 1)
}

// Busy returns the number of calls that run or wait.
func (g *Queue) Busy() int {
	return g.running + len(g.waiting)
}

// Running returns the number of calls that run.
func (g *Queue) Running() int {
	return g.running
}

// Offer decides about a new call.
func (g *Queue) Offer(now time.Duration, c Call) Decision {
	if c.Deadline-now < c.EstimatedDuration/2 {
		return Refuse
	}
	if g.running < g.Limit() && len(g.waiting) == 0 {
		g.running++
		return Run
	}
	ahead := g.ahead(c.Rank)
	if len(g.waiting) >= g.slots*queueShare/100 || g.wait(ahead)+c.EstimatedDuration > c.Deadline-now {
		return Refuse
	}
	g.waiting = slices.Insert(g.waiting, ahead, c)
	return Wait
}

// ahead returns the number of waiting calls that go before a new one of a rank.
func (g *Queue) ahead(rank uint8) int {
	at := len(g.waiting)
	for at > 0 && g.waiting[at-1].Rank > rank {
		at--
	}
	return at
}

// wait returns the time until a slot is free for a call with others ahead of it.
func (g *Queue) wait(ahead int) time.Duration {
	return time.Duration(ahead+1) * g.took / time.Duration(g.Limit())
}

// Finish takes in the end of a running call that held its slot for a time, and
// appends what becomes of the calls that waited.
func (g *Queue) Finish(now, took time.Duration, out []Dequeued) []Dequeued {
	g.running--
	g.took += time.Duration(float64(took-g.took) * tookWeight)
	return g.Dispatch(now, out)
}

// Dispatch gives free slots to the calls that wait.
func (g *Queue) Dispatch(now time.Duration, out []Dequeued) []Dequeued {
	taken := 0
	for taken < len(g.waiting) && g.running < g.Limit() {
		c := g.waiting[taken]
		taken++
		if c.Deadline-now < c.EstimatedDuration/2 {
			out = append(out, Dequeued{ID: c.ID, Decision: Refuse})
			continue
		}
		g.running++
		out = append(out, Dequeued{ID: c.ID, Decision: Run})
	}
	g.waiting = slices.Delete(g.waiting, 0, taken)
	return out
}

// Cancel forgets a call that waits. It returns false when the call doesn't wait.
func (g *Queue) Cancel(id uint64) bool {
	at := slices.IndexFunc(g.waiting, func(c Call) bool { return c.ID == id })
	if at < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, at, at+1)
	return true
}
