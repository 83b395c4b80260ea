package admission

import (
	"time"

	"github.com/galenacart/galenacart/decision/boundary"
	"github.com/galenacart/galenacart/decision/capacity"
	"github.com/galenacart/galenacart/decision/priority"
)

const (
	// queueLimitMin is the least limit on queued calls, as far as the catalogue
	// allows it. It lets endpoints with few slots absorb bursts.
	queueLimitMin = 32
	// queueLimitMax bounds the cost of keeping the queue sorted.
	queueLimitMax = 512
	// waitResponseTimes is the queue wait limit without pressure, in mean
	// response times.
	waitResponseTimes = 4
	// queueWaitMin and queueWaitMax bound the queue wait limit without
	// pressure.
	queueWaitMin = 200 * time.Millisecond
	queueWaitMax = 500 * time.Millisecond
	// probeDivisor divides the limit to give the number of calls that run
	// whatever the response time estimate says. Their responses correct an
	// outdated estimate.
	probeDivisor = 16
)

// downstreamWeight is the weight of one call in the moving average of the
// downstream wait.
const downstreamWeight = 1.0 / 256

// Controller decides about the calls for one endpoint. It is not safe for
// concurrent use.
//
// It never leaves a slot free while a call is queued. A call is shed only when
// no less important call is queued, and while a call is queued, no less
// important call that arrived later is run.
type Controller struct {
	config        Config
	limiter       *capacity.Limiter
	queue         queue
	runningCalls  runningCalls
	responseTimes responseTimeEstimate
	threshold     boundary.Boundary
	pressure      pressure
	// idleTime is the total time during which slots were free. It is the clock
	// of the threshold, which opens only while slots are free: a full endpoint
	// needs no further calls.
	idleTime time.Duration
	// meanDownstreamWait is the moving average of the time that the endpoint
	// waits for its own calls.
	meanDownstreamWait time.Duration
	downstreamSamples  int           // number of calls in meanDownstreamWait
	now                time.Duration // time of the last decision
}

// NewController returns a Controller with no calls.
func NewController(c Config) *Controller {
	return &Controller{
		config:       c,
		limiter:      capacity.NewLimiter(c.SlotsMax),
		runningCalls: newRunningCalls(),
	}
}

// SetConfig applies the limits of a new catalogue. Calls in flight continue;
// calls over a smaller queue limit are shed by the next decision.
func (c *Controller) SetConfig(update Config) {
	c.config = update
	c.limiter.SetCeiling(update.SlotsMax)
}

// Admit decides about a new call and appends the resulting decisions about
// other calls to out.
func (c *Controller) Admit(now time.Duration, incoming Call, out []CallDecision) (Decision, []CallDecision) {
	now = c.advance(now)
	out = c.dispatch(now, out)
	call := queuedCall{id: incoming.ID, deadline: incoming.Deadline, arrived: now, priority: incoming.Priority}
	if c.tooLate(now, &call, 0) {
		return DecisionTooLate, out
	}
	if c.Headroom() > 0 {
		c.start(now, &call)
		return DecisionRun, out
	}
	if c.tooLate(now, &call, c.expectedWait(c.queue.callsAhead(&call))) {
		return c.cancelOrRefuse(now, &call, out)
	}
	if c.shedOnArrival(&call) {
		c.threshold.RecordShed(c.idleTime, call.priority)
		return DecisionShed, c.shedLeastImportant(c.queue.len()-c.queue.callsAhead(&call), out)
	}
	return c.enqueue(&call, out)
}

// Complete records the end of a running call. It ignores a call that is not
// running.
func (c *Controller) Complete(now time.Duration, id ID, r Result, out []CallDecision) []CallDecision {
	now = c.advance(now)
	call, known := c.runningCalls.finish(id)
	if !known {
		return out
	}
	c.recordResult(now, &call, &r)
	return c.dispatch(now, out)
}

// Cancel removes a queued or running call whose caller disconnected or timed
// out. Complete need not be called for it any more.
func (c *Controller) Cancel(now time.Duration, id ID, out []CallDecision) []CallDecision {
	now = c.advance(now)
	call, known := c.runningCalls.finish(id)
	if !known {
		c.queue.remove(id)
		return c.dispatch(now, out)
	}
	r := Result{Outcome: OutcomeCancelled, Duration: now - call.started}
	c.recordResult(now, &call, &r)
	return c.dispatch(now, out)
}

// Tick refuses queued calls that are too late or have waited too long.
func (c *Controller) Tick(now time.Duration, out []CallDecision) []CallDecision {
	now = c.advance(now)
	out = c.dropTooLate(now, out)
	out = c.shedLeastImportant(c.countExpired(now), out)
	return c.dispatch(now, out)
}

// Threshold returns the first priority that would be shed now, or
// priority.Lowest if none would.
func (c *Controller) Threshold(now time.Duration) priority.Priority {
	return c.threshold.Current(c.idleTimeAt(now))
}

// Headroom returns the number of further calls that would run at once.
func (c *Controller) Headroom() int {
	return max(0, c.limiter.Limit()-c.runningCalls.len()-c.queue.len())
}

// State returns a snapshot for status pages.
func (c *Controller) State() State {
	return State{
		Limit:        c.limiter.LearnedLimit(),
		Running:      c.runningCalls.len(),
		Queued:       c.queue.len(),
		QueueLimit:   c.queueLimit(),
		ResponseTime: c.responseTimes.mean(),
		Threshold:    c.Threshold(c.now),
	}
}

// advance moves the controller's time forward to now and returns the result.
// The time never goes back, as callers may read the clock before they acquire
// their lock.
func (c *Controller) advance(now time.Duration) time.Duration {
	if now <= c.now {
		return c.now
	}
	c.idleTime = c.idleTimeAt(now)
	c.pressure.observe(now-c.now, c.waitingRank())
	c.now = now
	return c.now
}

// idleTimeAt returns the idle time at now if no decision is made until then.
func (c *Controller) idleTimeAt(now time.Duration) time.Duration {
	if now <= c.now || c.Headroom() == 0 {
		return c.idleTime
	}
	return c.idleTime + now - c.now
}

// waitingRank returns the rank of the most important call that is queued for
// lack of slots, or trackedRanks if there is none. Calls that are queued
// because a comparison of the limiter temporarily lowers the limit do not
// indicate load.
func (c *Controller) waitingRank() priority.Rank {
	if c.queue.len() == 0 || c.runningCalls.len() < c.limiter.LearnedLimit() {
		return trackedRanks
	}
	return c.queue.mostImportant().priority.Rank()
}

// recordResult updates the response time estimate and the limiter with the end
// of a call.
func (c *Controller) recordResult(now time.Duration, call *runningCall, r *Result) {
	switch r.Outcome {
	case OutcomeAnswered:
		c.responseTimes.add(r.Duration)
		c.limiter.RecordEnd(now, call.limiterStart, c.slotTime(r))
	case OutcomeRefused:
		c.limiter.RecordRefusal(now, call.limiterStart)
	default:
		if call.cancelling || r.Duration < c.responseTimes.median()/2 {
			c.limiter.RecordEnd(now, call.limiterStart, 0)
			return
		}
		c.responseTimes.add(r.Duration)
		c.limiter.RecordAbort(now, call.limiterStart, c.slotTime(r))
	}
}

// slotTime returns the time for which the call would have held a slot had its
// downstream wait been the average one. The actual downstream wait carries no
// information about the endpoint's slots. The average is kept as a part of the
// total, so that small changes of the endpoint's own time do not look like a
// full endpoint.
func (c *Controller) slotTime(r *Result) time.Duration {
	c.downstreamSamples++
	weight := max(downstreamWeight, 1/float64(c.downstreamSamples))
	c.meanDownstreamWait += time.Duration(float64(r.DownstreamWait-c.meanDownstreamWait) * weight)
	return max(r.Duration-r.DownstreamWait+c.meanDownstreamWait, 1)
}

// dispatch sheds calls over the queue limit and starts queued calls while
// slots are free.
func (c *Controller) dispatch(now time.Duration, out []CallDecision) []CallDecision {
	out = c.shedLeastImportant(c.queue.len()-c.queueLimit(), out)
	for c.queue.len() > 0 && c.runningCalls.len() < c.limiter.Limit() {
		next := c.queue.popMostImportant()
		decision := DecisionRun
		if c.tooLate(now, &next, 0) {
			decision = DecisionTooLate
		} else {
			c.start(now, &next)
		}
		out = append(out, CallDecision{ID: next.id, Decision: decision})
	}
	return out
}

func (c *Controller) start(now time.Duration, call *queuedCall) {
	c.threshold.RecordRun(call.priority)
	c.runningCalls.add(runningCall{
		id:           call.id,
		started:      now,
		limiterStart: c.limiter.RecordStart(now, c.runningCalls.len()+1),
		priority:     call.priority,
	})
}

// cancelOrRefuse refuses a call that would wait too long, unless a running
// call can be cancelled in its favour.
func (c *Controller) cancelOrRefuse(now time.Duration, call *queuedCall, out []CallDecision) (Decision, []CallDecision) {
	callsAhead := c.queue.callsAhead(call)
	if c.config.CancelRunning && callsAhead == 0 && c.queueLimit() > 0 {
		cancelled, out := c.cancelRunningFor(now, call, out)
		if cancelled {
			return c.enqueue(call, out)
		}
	}
	if callsAhead == c.queue.len() {
		c.threshold.RecordShed(c.idleTime, call.priority)
	}
	return DecisionTooLate, out
}

// enqueue queues a call, in place of the least important one if the queue is
// full. It sheds the call if the queue holds no less important one.
func (c *Controller) enqueue(call *queuedCall, out []CallDecision) (Decision, []CallDecision) {
	if c.queue.len() < c.queueLimit() {
		c.queue.insert(*call)
		return DecisionQueue, out
	}
	if c.queue.len() == 0 || !call.before(c.queue.leastImportant()) {
		c.threshold.RecordShed(c.idleTime, call.priority)
		return DecisionShed, out
	}
	evicted := c.queue.replaceLeastImportant(*call)
	c.threshold.RecordShed(c.idleTime, evicted.priority)
	return DecisionQueue, append(out, CallDecision{ID: evicted.id, Decision: DecisionShed})
}

// shedLeastImportant sheds the n least important queued calls.
func (c *Controller) shedLeastImportant(n int, out []CallDecision) []CallDecision {
	if n <= 0 {
		return out
	}
	mostImportantShed := c.queue.calls[n-1].priority
	for _, call := range c.queue.calls[:n] {
		out = append(out, CallDecision{ID: call.id, Decision: DecisionShed})
	}
	c.queue.removeLeastImportant(n)
	c.threshold.RecordShed(c.idleTime, mostImportantShed)
	return out
}

// dropTooLate refuses queued calls whose remaining time does not cover the
// current response time.
func (c *Controller) dropTooLate(now time.Duration, out []CallDecision) []CallDecision {
	kept := c.queue.calls[:0]
	for i := range c.queue.calls {
		call := &c.queue.calls[i]
		if c.tooLate(now, call, 0) {
			out = append(out, CallDecision{ID: call.id, Decision: DecisionTooLate})
			continue
		}
		kept = append(kept, *call)
	}
	c.queue.calls = kept
	return out
}

// tooLate reports whether the remaining time of call does not cover the wait
// and the current response time.
func (c *Controller) tooLate(now time.Duration, call *queuedCall, wait time.Duration) bool {
	remaining := call.deadline - now
	if remaining <= 0 {
		return true
	}
	if c.runningCalls.len() < max(1, c.limiter.Limit()/probeDivisor) {
		return false
	}
	return remaining <= wait+c.responseTimes.median()
}

// expectedWait returns the expected time until a slot is free for a call with
// the given number of calls ahead of it.
func (c *Controller) expectedWait(ahead int) time.Duration {
	position := time.Duration(ahead + 1)
	return position * c.responseTimes.mean() / time.Duration(c.limiter.Limit())
}

// queueLimit returns the limit on queued calls: within the bounds, the number
// of calls that complete in about one response time.
func (c *Controller) queueLimit() int {
	return min(c.config.QueueMax, queueLimitMax, max(queueLimitMin, c.limiter.LearnedLimit()))
}

// shedOnArrival reports whether call would most likely be shed after waiting
// in the queue. Without pressure it is always queued.
func (c *Controller) shedOnArrival(call *queuedCall) bool {
	if !c.pressure.affects(call.priority) {
		return false
	}
	if !call.priority.HigherThan(c.threshold.Current(c.idleTime)) {
		return true
	}
	return c.expectedWait(c.queue.callsAhead(call)) > c.waitLimit(call)
}

// countExpired returns the number of queued calls to shed: the most important
// call that has waited too long, or under pressure is expected to, and all
// less important ones.
func (c *Controller) countExpired(now time.Duration) int {
	return c.queue.countExpired(func(call *queuedCall, ahead int) bool {
		waited := now - call.arrived
		if c.pressure.affects(call.priority) {
			waited += c.expectedWait(ahead)
		}
		return waited > c.waitLimit(call)
	})
}

// waitLimit returns the maximum time that call may be queued.
func (c *Controller) waitLimit(call *queuedCall) time.Duration {
	if c.pressure.affects(call.priority) {
		return c.pressureWaitLimit()
	}
	return c.normalWaitLimit()
}

// pressureWaitLimit returns the queue wait limit under pressure.
func (c *Controller) pressureWaitLimit() time.Duration {
	return min(c.normalWaitLimit(), max(pressureWaitMin, c.responseTimes.mean()/pressureWaitDivisor))
}

// normalWaitLimit returns the queue wait limit without pressure.
func (c *Controller) normalWaitLimit() time.Duration {
	return max(queueWaitMin, min(queueWaitMax, waitResponseTimes*c.responseTimes.mean()))
}
