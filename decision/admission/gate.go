package admission

import (
	"time"

	"github.com/galenacart/galenacart/decision/boundary"
	"github.com/galenacart/galenacart/decision/capacity"
	"github.com/galenacart/galenacart/decision/priority"
)

const (
	// queueMin is the least number of calls that may wait, if the catalogue
	// allows it. It takes bursts at endpoints of few slots.
	queueMin = 32
	// queueMost bounds the cost of keeping the queue sorted.
	queueMost = 512
	// waitAnswers is the time that a call may wait, in times to answer.
	waitAnswers = 4
	// waitMin and waitMax bound the time that a call may wait.
	waitMin = 200 * time.Millisecond
	waitMax = 500 * time.Millisecond
	// probeShare is the part of the slots, one in probeShare, that is filled
	// whatever the estimates say. It shows when they are out of date.
	probeShare = 16
)

// downstreamWeight is the weight of one call in the usual time that an endpoint
// waits for its own calls.
const downstreamWeight = 1.0 / 256

// Gate decides about the calls for one endpoint. It is not safe for concurrent
// use.
//
// It never leaves a slot free while a call waits. A call is shed only when no
// less important call waits; while a call waits, no less important call that
// came later is run.
type Gate struct {
	config    Config
	limiter   *capacity.Limiter
	queue     queue
	flights   flights
	answers   estimate
	threshold boundary.Boundary
	pressure  pressure
	// idle is the time for which slots were free. The threshold opens with it: a
	// full endpoint has no reason to ask for more.
	idle time.Duration
	// downstream is the usual time that the endpoint waits for its own calls.
	downstream time.Duration
	answered   int // answers that downstream rests on
	now        time.Duration
}

// NewGate returns a Gate with no calls.
func NewGate(c Config) *Gate {
	return &Gate{
		config:  c,
		limiter: capacity.NewLimiter(c.SlotsMax),
		flights: newFlights(),
	}
}

// SetConfig takes the ceilings of a new catalogue into force. Calls in flight
// stay; calls over a smaller queue are shed by the next decision.
func (g *Gate) SetConfig(c Config) {
	g.config = c
	g.limiter.SetCeiling(c.SlotsMax)
}

// Offer decides about a new call and appends the fates of queued calls to out.
func (g *Gate) Offer(now time.Duration, o Offer, out []Release) (Verdict, []Release) {
	now = g.advance(now)
	out = g.settle(now, out)
	e := entry{id: o.ID, deadline: o.Deadline, arrived: now, priority: o.Priority}
	if g.tooLate(now, &e, 0) {
		return VerdictTooLate, out
	}
	if g.Headroom() > 0 {
		g.start(now, &e)
		return VerdictRun, out
	}
	if g.tooLate(now, &e, g.wait(g.queue.ahead(&e))) {
		return g.refuseWait(now, &e, out)
	}
	if g.hopeless(&e) {
		g.threshold.Shed(g.idle, e.priority)
		return VerdictShed, g.shedWorst(g.queue.len()-g.queue.ahead(&e), out)
	}
	return g.enqueue(&e, out)
}

// Done takes in the end of a running call. It ignores a call that isn't running.
func (g *Gate) Done(now time.Duration, id ID, r Result, out []Release) []Release {
	now = g.advance(now)
	call, known := g.flights.take(id)
	if !known {
		return out
	}
	g.learn(now, &call, &r)
	return g.settle(now, out)
}

// Cancel forgets a queued or running call whose caller is gone or timed out.
// After Cancel the call needs no Done.
func (g *Gate) Cancel(now time.Duration, id ID, out []Release) []Release {
	now = g.advance(now)
	call, known := g.flights.take(id)
	if !known {
		g.queue.remove(id)
		return g.settle(now, out)
	}
	r := Result{Outcome: OutcomeCancelled, Took: now - call.started}
	g.learn(now, &call, &r)
	return g.settle(now, out)
}

// Tick decides about calls whose time runs out while they wait.
func (g *Gate) Tick(now time.Duration, out []Release) []Release {
	now = g.advance(now)
	out = g.dropLate(now, out)
	out = g.shedWorst(g.overstayed(now), out)
	return g.settle(now, out)
}

// Threshold returns the first priority that would be shed now, or
// priority.Lowest if none would.
func (g *Gate) Threshold(now time.Duration) priority.Priority {
	return g.threshold.Current(g.idleAt(now))
}

// Headroom returns the number of further calls that would run at once.
func (g *Gate) Headroom() int {
	return max(0, g.limiter.Limit()-g.flights.len()-g.queue.len())
}

// State returns a snapshot for status pages.
func (g *Gate) State() State {
	return State{
		Limit:        g.limiter.Learned(),
		Running:      g.flights.len(),
		Queued:       g.queue.len(),
		QueueLimit:   g.queueLimit(),
		TimeToAnswer: g.answers.mean(),
		Threshold:    g.Threshold(g.now),
	}
}

// advance returns the later of now and the time of the last decision: callers
// may read the clock before they take their lock.
func (g *Gate) advance(now time.Duration) time.Duration {
	if now <= g.now {
		return g.now
	}
	g.idle = g.idleAt(now)
	g.pressure.observe(now-g.now, g.bestRank())
	g.now = now
	return g.now
}

// idleAt returns the time for which slots will have been free at a time without
// further decisions until then.
func (g *Gate) idleAt(now time.Duration) time.Duration {
	if now <= g.now || g.Headroom() == 0 {
		return g.idle
	}
	return g.idle + now - g.now
}

// bestRank returns the class of the most important call that waits for lack of
// slots, or ranksTracked if none does. Calls that wait because a comparison of
// the limiter runs fewer for a while tell nothing about the load.
func (g *Gate) bestRank() priority.Rank {
	if g.queue.len() == 0 || g.flights.len() < g.limiter.Learned() {
		return ranksTracked
	}
	return g.queue.best().priority.Rank()
}

// learn takes in what the end of a call tells about the endpoint.
func (g *Gate) learn(now time.Duration, call *flight, r *Result) {
	switch r.Outcome {
	case OutcomeAnswered:
		g.answers.add(r.Took)
		g.limiter.End(now, call.mark, g.slotTime(r))
	case OutcomeRefused:
		g.limiter.Refused(now, call.mark)
	default:
		if call.cancelling || r.Took < g.answers.median()/2 {
			g.limiter.End(now, call.mark, 0)
			return
		}
		g.answers.add(r.Took)
		g.limiter.CutOff(now, call.mark, g.slotTime(r))
	}
}

// slotTime returns the time for which the call would have held a slot if the
// endpoint's own calls had taken their usual time. How long they took just now
// tells nothing about the endpoint's slots; that they are a part of the whole
// keeps small changes of the endpoint's own time from looking like a full one.
func (g *Gate) slotTime(r *Result) time.Duration {
	g.answered++
	weight := max(downstreamWeight, 1/float64(g.answered))
	g.downstream += time.Duration(float64(r.DownstreamWait-g.downstream) * weight)
	return max(r.Took-r.DownstreamWait+g.downstream, 1)
}

// settle sheds what no longer fits into the queue and starts what has a slot.
func (g *Gate) settle(now time.Duration, out []Release) []Release {
	out = g.shedWorst(g.queue.len()-g.queueLimit(), out)
	for g.queue.len() > 0 && g.flights.len() < g.limiter.Limit() {
		next := g.queue.popBest()
		verdict := VerdictRun
		if g.tooLate(now, &next, 0) {
			verdict = VerdictTooLate
		} else {
			g.start(now, &next)
		}
		out = append(out, Release{ID: next.id, Verdict: verdict})
	}
	return out
}

func (g *Gate) start(now time.Duration, e *entry) {
	g.threshold.Ran(e.priority)
	g.flights.add(flight{
		id:       e.id,
		started:  now,
		mark:     g.limiter.Start(now, g.flights.len()+1),
		priority: e.priority,
	})
}

// refuseWait refuses a call that would wait too long, unless a running call can
// be cancelled for it.
func (g *Gate) refuseWait(now time.Duration, e *entry, out []Release) (Verdict, []Release) {
	ahead := g.queue.ahead(e)
	if g.config.CancelRunning && ahead == 0 && g.queueLimit() > 0 {
		cancelled, out := g.cancelFor(now, e, out)
		if cancelled {
			return g.enqueue(e, out)
		}
	}
	if ahead == g.queue.len() {
		g.threshold.Shed(g.idle, e.priority)
	}
	return VerdictTooLate, out
}

// enqueue lets a call wait, in the place of a less important one if need be.
func (g *Gate) enqueue(e *entry, out []Release) (Verdict, []Release) {
	if g.queue.len() < g.queueLimit() {
		g.queue.insert(*e)
		return VerdictQueued, out
	}
	if g.queue.len() == 0 || !e.before(g.queue.worst()) {
		g.threshold.Shed(g.idle, e.priority)
		return VerdictShed, out
	}
	evicted := g.queue.replaceWorst(*e)
	g.threshold.Shed(g.idle, evicted.priority)
	return VerdictQueued, append(out, Release{ID: evicted.id, Verdict: VerdictShed})
}

// shedWorst sheds the n least important calls that wait.
func (g *Gate) shedWorst(n int, out []Release) []Release {
	if n <= 0 {
		return out
	}
	first := g.queue.entries[n-1].priority
	for _, e := range g.queue.entries[:n] {
		out = append(out, Release{ID: e.id, Verdict: VerdictShed})
	}
	g.queue.popWorst(n)
	g.threshold.Shed(g.idle, first)
	return out
}

// dropLate releases the calls whose remaining time can't cover an answer.
func (g *Gate) dropLate(now time.Duration, out []Release) []Release {
	kept := g.queue.entries[:0]
	for i := range g.queue.entries {
		e := &g.queue.entries[i]
		if g.tooLate(now, e, 0) {
			out = append(out, Release{ID: e.id, Verdict: VerdictTooLate})
			continue
		}
		kept = append(kept, *e)
	}
	g.queue.entries = kept
	return out
}

// tooLate reports whether the remaining time of e can't cover the wait and the
// current time to answer.
func (g *Gate) tooLate(now time.Duration, e *entry, wait time.Duration) bool {
	remaining := e.deadline - now
	if remaining <= 0 {
		return true
	}
	if g.flights.len() < max(1, g.limiter.Limit()/probeShare) {
		return false
	}
	return remaining <= wait+g.answers.median()
}

// wait returns the time until a slot is free for a call with others ahead of it.
func (g *Gate) wait(ahead int) time.Duration {
	turns := time.Duration(ahead + 1)
	return turns * g.answers.mean() / time.Duration(g.limiter.Limit())
}

// queueLimit returns how many calls may wait: about as many as are answered in
// one time to answer.
func (g *Gate) queueLimit() int {
	return min(g.config.QueueMax, queueMost, max(queueMin, g.limiter.Learned()))
}

// hopeless reports whether e would most likely wait in vain. Without pressure a
// call gets the benefit of the doubt.
func (g *Gate) hopeless(e *entry) bool {
	if !g.pressure.on(e.priority) {
		return false
	}
	if !e.priority.Before(g.threshold.Current(g.idle)) {
		return true
	}
	return g.wait(g.queue.ahead(e)) > g.waitLimit(e)
}

// overstayed returns how many of the least important calls are to go: the most
// important one that waits too long, or under pressure will have, and all below
// it.
func (g *Gate) overstayed(now time.Duration) int {
	return g.queue.overstayed(func(e *entry, ahead int) bool {
		waited := now - e.arrived
		if g.pressure.on(e.priority) {
			waited += g.wait(ahead)
		}
		return waited > g.waitLimit(e)
	})
}

// waitLimit returns how long a call may wait.
func (g *Gate) waitLimit(e *entry) time.Duration {
	if g.pressure.on(e.priority) {
		return g.pressedWait()
	}
	return g.longestWait()
}

// pressedWait returns how long a call may wait under pressure.
func (g *Gate) pressedWait() time.Duration {
	return min(g.longestWait(), max(pressedWaitMin, g.answers.mean()/pressedWaitShare))
}

// longestWait returns how long a call may wait.
func (g *Gate) longestWait() time.Duration {
	return max(waitMin, min(waitMax, waitAnswers*g.answers.mean()))
}
