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

// Verdict is what becomes of a call.
type Verdict uint8

// The verdicts.
const (
	// Run hands the call to the endpoint.
	Run Verdict = iota
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
	// Needs is the time that a call of its route usually takes.
	Needs time.Duration
}

// Release is the verdict on a call that waited.
type Release struct {
	// ID identifies the call.
	ID uint64
	// Verdict is Run or Refuse.
	Verdict Verdict
}

// Gate holds the calls of one endpoint. It is not safe for concurrent use.
type Gate struct {
	slots   int
	running int
	waiting []Call // the next one first
	took    time.Duration
}

// New returns a gate for an endpoint with a number of slots.
func New(slots int) *Gate {
	return &Gate{slots: max(slots, 1)}
}

// SetSlots takes in the number of slots that the endpoint has.
func (g *Gate) SetSlots(slots int) {
	g.slots = max(slots, 1)
}

// Limit returns the number of calls that may run at once.
func (g *Gate) Limit() int {
	return max(g.slots*fullShare/100, 1)
}

// Busy returns the number of calls that run or wait.
func (g *Gate) Busy() int {
	return g.running + len(g.waiting)
}

// Running returns the number of calls that run.
func (g *Gate) Running() int {
	return g.running
}

// Offer decides about a new call.
func (g *Gate) Offer(now time.Duration, c Call) Verdict {
	if c.Deadline-now < c.Needs/2 {
		return Refuse
	}
	if g.running < g.Limit() && len(g.waiting) == 0 {
		g.running++
		return Run
	}
	ahead := g.ahead(c.Rank)
	if len(g.waiting) >= g.slots*queueShare/100 || g.wait(ahead)+c.Needs > c.Deadline-now {
		return Refuse
	}
	g.waiting = slices.Insert(g.waiting, ahead, c)
	return Wait
}

// ahead returns the number of waiting calls that go before a new one of a rank.
func (g *Gate) ahead(rank uint8) int {
	at := len(g.waiting)
	for at > 0 && g.waiting[at-1].Rank > rank {
		at--
	}
	return at
}

// wait returns the time until a slot is free for a call with others ahead of it.
func (g *Gate) wait(ahead int) time.Duration {
	return time.Duration(ahead+1) * g.took / time.Duration(g.Limit())
}

// Done takes in the end of a running call that held its slot for a time, and
// appends what becomes of the calls that waited.
func (g *Gate) Done(now, took time.Duration, out []Release) []Release {
	g.running--
	g.took += time.Duration(float64(took-g.took) * tookWeight)
	return g.Fill(now, out)
}

// Fill gives free slots to the calls that wait.
func (g *Gate) Fill(now time.Duration, out []Release) []Release {
	taken := 0
	for taken < len(g.waiting) && g.running < g.Limit() {
		c := g.waiting[taken]
		taken++
		if c.Deadline-now < c.Needs/2 {
			out = append(out, Release{ID: c.ID, Verdict: Refuse})
			continue
		}
		g.running++
		out = append(out, Release{ID: c.ID, Verdict: Run})
	}
	g.waiting = slices.Delete(g.waiting, 0, taken)
	return out
}

// Cancel forgets a call that waits. It returns false when the call doesn't wait.
func (g *Gate) Cancel(id uint64) bool {
	at := slices.IndexFunc(g.waiting, func(c Call) bool { return c.ID == id })
	if at < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, at, at+1)
	return true
}
