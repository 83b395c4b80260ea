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

// Controller decides about the calls for one endpoint. It is not safe for concurrent
// use.
//
// It never leaves a slot free while a call waits. A call is shed only when no
// less important call waits; while a call waits, no less important call that
// came later is run.
type Controller struct {
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

// NewController returns a Gate with no calls.
func NewController(c Config) *Controller {
	return &Controller{
		config:  c,
		limiter: capacity.NewLimiter(c.SlotsMax),
		flights: newFlights(),
	}
}

// SetConfig takes the ceilings of a new catalogue into force. Calls in flight
// stay; calls over a smaller queue are shed by the next decision.
func (g *Controller) SetConfig(c Config) {
	g.config = c
	g.limiter.SetCeiling(c.SlotsMax)
}

// Admit decides about a new call and appends the fates of queued calls to out.
func (g *Controller) Admit(now time.Duration, o Call, out []CallDecision) (Decision, []CallDecision) {
	now = g.advance(now)
	out = g.settle(now, out)
	e := entry{id: o.ID, deadline: o.Deadline, arrived: now, priority: o.Priority}
	if g.tooLate(now, &e, 0) {
		return DecisionTooLate, out
	}
	if g.Headroom() > 0 {
		g.start(now, &e)
		return DecisionRun, out
	}
	if g.tooLate(now, &e, g.wait(g.queue.ahead(&e))) {
		return g.refuseWait(now, &e, out)
	}
	if g.hopeless(&e) {
		g.threshold.RecordShed(g.idle, e.priority)
		return DecisionShed, g.shedWorst(g.queue.len()-g.queue.ahead(&e), out)
	}
	return g.enqueue(&e, out)
}

// Complete takes in the end of a running call. It ignores a call that isn't running.
func (g *Controller) Complete(now time.Duration, id ID, r Result, out []CallDecision) []CallDecision {
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
func (g *Controller) Cancel(now time.Duration, id ID, out []CallDecision) []CallDecision {
	now = g.advance(now)
	call, known := g.flights.take(id)
	if !known {
		g.queue.remove(id)
		return g.settle(now, out)
	}
	r := Result{Outcome: OutcomeCancelled, Duration: now - call.started}
	g.learn(now, &call, &r)
	return g.settle(now, out)
}

// Tick decides about calls whose time runs out while they wait.
func (g *Controller) Tick(now time.Duration, out []CallDecision) []CallDecision {
	now = g.advance(now)
	out = g.dropLate(now, out)
	out = g.shedWorst(g.overstayed(now), out)
	return g.settle(now, out)
}

// Threshold returns the first priority that would be shed now, or
// priority.Lowest if none would.
func (g *Controller) Threshold(now time.Duration) priority.Priority {
	return g.threshold.Current(g.idleAt(now))
}

// Headroom returns the number of further calls that would run at once.
func (g *Controller) Headroom() int {
	return max(0, g.limiter.Limit()-g.flights.len()-g.queue.len())
}

// State returns a snapshot for status pages.
func (g *Controller) State() State {
	return State{
		Limit:        g.limiter.LearnedLimit(),
		Running:      g.flights.len(),
		Queued:       g.queue.len(),
		QueueLimit:   g.queueLimit(),
		ResponseTime: g.answers.mean(),
		Threshold:    g.Threshold(g.now),
	}
}

// advance returns the later of now and the time of the last decision: callers
// may read the clock before they take their lock.
func (g *Controller) advance(now time.Duration) time.Duration {
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
func (g *Controller) idleAt(now time.Duration) time.Duration {
	if now <= g.now || g.Headroom() == 0 {
		return g.idle
	}
	return g.idle + now - g.now
}

// bestRank returns the class of the most important call that waits for lack of
// slots, or ranksTracked if none does. Calls that wait because a comparison of
// the limiter runs fewer for a while tell nothing about the load.
func (g *Controller) bestRank() priority.Rank {
	if g.queue.len() == 0 || g.flights.len() < g.limiter.LearnedLimit() {
		return ranksTracked
	}
	return g.queue.best().priority.Rank()
}

// learn takes in what the end of a call tells about the endpoint.
func (g *Controller) learn(now time.Duration, call *flight, r *Result) {
	switch r.Outcome {
	case OutcomeAnswered:
		g.answers.add(r.Duration)
		g.limiter.RecordEnd(now, call.mark, g.slotTime(r))
	case OutcomeRefused:
		g.limiter.RecordRefusal(now, call.mark)
	default:
		if call.cancelling || r.Duration < g.answers.median()/2 {
			g.limiter.RecordEnd(now, call.mark, 0)
			return
		}
		g.answers.add(r.Duration)
		g.limiter.RecordAbort(now, call.mark, g.slotTime(r))
	}
}

// slotTime returns the time for which the call would have held a slot if the
// endpoint's own calls had taken their usual time. How long they took just now
// tells nothing about the endpoint's slots; that they are a part of the whole
// keeps small changes of the endpoint's own time from looking like a full one.
func (g *Controller) slotTime(r *Result) time.Duration {
	g.answered++
	weight := max(downstreamWeight, 1/float64(g.answered))
	g.downstream += time.Duration(float64(r.DownstreamWait-g.downstream) * weight)
	return max(r.Duration-r.DownstreamWait+g.downstream, 1)
}

// settle sheds what no longer fits into the queue and starts what has a slot.
func (g *Controller) settle(now time.Duration, out []CallDecision) []CallDecision {
	out = g.shedWorst(g.queue.len()-g.queueLimit(), out)
	for g.queue.len() > 0 && g.flights.len() < g.limiter.Limit() {
		next := g.queue.popBest()
		verdict := DecisionRun
		if g.tooLate(now, &next, 0) {
			verdict = DecisionTooLate
		} else {
			g.start(now, &next)
		}
		out = append(out, CallDecision{ID: next.id, Decision: verdict})
	}
	return out
}

func (g *Controller) start(now time.Duration, e *entry) {
	g.threshold.RecordRun(e.priority)
	g.flights.add(flight{
		id:       e.id,
		started:  now,
		mark:     g.limiter.RecordStart(now, g.flights.len()+1),
		priority: e.priority,
	})
}

// refuseWait refuses a call that would wait too long, unless a running call can
// be cancelled for it.
func (g *Controller) refuseWait(now time.Duration, e *entry, out []CallDecision) (Decision, []CallDecision) {
	ahead := g.queue.ahead(e)
	if g.config.CancelRunning && ahead == 0 && g.queueLimit() > 0 {
		cancelled, out := g.cancelFor(now, e, out)
		if cancelled {
			return g.enqueue(e, out)
		}
	}
	if ahead == g.queue.len() {
		g.threshold.RecordShed(g.idle, e.priority)
	}
	return DecisionTooLate, out
}

// enqueue lets a call wait, in the place of a less important one if need be.
func (g *Controller) enqueue(e *entry, out []CallDecision) (Decision, []CallDecision) {
	if g.queue.len() < g.queueLimit() {
		g.queue.insert(*e)
		return DecisionQueue, out
	}
	if g.queue.len() == 0 || !e.before(g.queue.worst()) {
		g.threshold.RecordShed(g.idle, e.priority)
		return DecisionShed, out
	}
	evicted := g.queue.replaceWorst(*e)
	g.threshold.RecordShed(g.idle, evicted.priority)
	return DecisionQueue, append(out, CallDecision{ID: evicted.id, Decision: DecisionShed})
}

// shedWorst sheds the n least important calls that wait.
func (g *Controller) shedWorst(n int, out []CallDecision) []CallDecision {
	if n <= 0 {
		return out
	}
	first := g.queue.entries[n-1].priority
	for _, e := range g.queue.entries[:n] {
		out = append(out, CallDecision{ID: e.id, Decision: DecisionShed})
	}
	g.queue.popWorst(n)
	g.threshold.RecordShed(g.idle, first)
	return out
}

// dropLate releases the calls whose remaining time can't cover an answer.
func (g *Controller) dropLate(now time.Duration, out []CallDecision) []CallDecision {
	kept := g.queue.entries[:0]
	for i := range g.queue.entries {
		e := &g.queue.entries[i]
		if g.tooLate(now, e, 0) {
			out = append(out, CallDecision{ID: e.id, Decision: DecisionTooLate})
			continue
		}
		kept = append(kept, *e)
	}
	g.queue.entries = kept
	return out
}

// tooLate reports whether the remaining time of e can't cover the wait and the
// current time to answer.
func (g *Controller) tooLate(now time.Duration, e *entry, wait time.Duration) bool {
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
func (g *Controller) wait(ahead int) time.Duration {
	turns := time.Duration(ahead + 1)
	return turns * g.answers.mean() / time.Duration(g.limiter.Limit())
}

// queueLimit returns how many calls may wait: about as many as are answered in
// one time to answer.
func (g *Controller) queueLimit() int {
	return min(g.config.QueueMax, queueMost, max(queueMin, g.limiter.LearnedLimit()))
}

// hopeless reports whether e would most likely wait in vain. Without pressure a
// call gets the benefit of the doubt.
func (g *Controller) hopeless(e *entry) bool {
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
func (g *Controller) overstayed(now time.Duration) int {
	return g.queue.overstayed(func(e *entry, ahead int) bool {
		waited := now - e.arrived
		if g.pressure.on(e.priority) {
			waited += g.wait(ahead)
		}
		return waited > g.waitLimit(e)
	})
}

// waitLimit returns how long a call may wait.
func (g *Controller) waitLimit(e *entry) time.Duration {
	if g.pressure.on(e.priority) {
		return g.pressedWait()
	}
	return g.longestWait()
}

// pressedWait returns how long a call may wait under pressure.
func (g *Controller) pressedWait() time.Duration {
	return min(g.longestWait(), max(pressedWaitMin, g.answers.mean()/pressedWaitShare))
}

// longestWait returns how long a call may wait.
func (g *Controller) longestWait() time.Duration {
	return max(waitMin, min(waitMax, waitAnswers*g.answers.mean()))
}
