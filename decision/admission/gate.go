package admission

import (
	"time"

	"github.com/galenacart/galenacart/decision/capacity"
	"github.com/galenacart/galenacart/decision/priority"
)

// running is one call in flight.
type running struct {
	mark     capacity.Mark
	priority priority.Priority
}

// Gate decides about the calls for one endpoint. It is not safe for concurrent
// use.
type Gate struct {
	config  Config
	limiter *capacity.Limiter
	queue   queue
	running map[ID]running
	now     time.Duration
}

// NewGate returns a Gate with no calls.
func NewGate(c Config) *Gate {
	g := &Gate{limiter: capacity.NewLimiter(c.SlotsMax)}
	g.SetConfig(c)
	g.running = make(map[ID]running, c.SlotsMax)
	return g
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
	if o.Deadline <= now {
		return VerdictTooLate, out
	}
	e := entry{id: o.ID, deadline: o.Deadline, arrived: now, priority: o.Priority}
	if g.Headroom() > 0 {
		g.start(now, &e)
		return VerdictRun, out
	}
	if g.queue.len() < g.config.QueueMax {
		g.queue.insert(e)
		return VerdictQueued, out
	}
	if g.queue.len() == 0 || !e.before(g.queue.worst()) {
		return VerdictShed, out
	}
	evicted := g.queue.popWorst()
	g.queue.insert(e)
	return VerdictQueued, append(out, Release{ID: evicted.id, Verdict: VerdictShed})
}

// Done takes in the end of a running call.
func (g *Gate) Done(now time.Duration, id ID, _ Result, out []Release) []Release {
	now = g.advance(now)
	delete(g.running, id)
	return g.settle(now, out)
}

// Cancel forgets a queued or running call whose caller is gone or timed out.
// After Cancel the call needs no Done.
func (g *Gate) Cancel(now time.Duration, id ID, out []Release) []Release {
	now = g.advance(now)
	if !g.queue.remove(id) {
		delete(g.running, id)
	}
	return g.settle(now, out)
}

// Tick decides about calls whose time runs out while they wait.
func (g *Gate) Tick(now time.Duration, out []Release) []Release {
	return g.settle(g.advance(now), out)
}

// Threshold returns the first priority that would be shed now.
func (g *Gate) Threshold(time.Duration) priority.Priority {
	if g.queue.len() == 0 || g.queue.len() < g.config.QueueMax {
		return priority.Lowest
	}
	return g.queue.worst().priority
}

// Headroom returns the number of further calls that would run at once.
func (g *Gate) Headroom() int {
	return max(0, g.limiter.Limit()-len(g.running)-g.queue.len())
}

// State returns a snapshot for status pages.
func (g *Gate) State() State {
	return State{
		Limit:      g.limiter.Limit(),
		Running:    len(g.running),
		Queued:     g.queue.len(),
		QueueLimit: g.config.QueueMax,
		Threshold:  g.Threshold(g.now),
	}
}

// advance returns the later of now and the time of the last decision: callers
// may read the clock before they take their lock.
func (g *Gate) advance(now time.Duration) time.Duration {
	g.now = max(g.now, now)
	return g.now
}

// settle sheds what no longer fits into the queue and starts what has a slot.
func (g *Gate) settle(now time.Duration, out []Release) []Release {
	for g.queue.len() > 0 && g.queue.best().deadline <= now {
		late := g.queue.popBest()
		out = append(out, Release{ID: late.id, Verdict: VerdictTooLate})
	}
	for g.queue.len() > g.config.QueueMax {
		evicted := g.queue.popWorst()
		out = append(out, Release{ID: evicted.id, Verdict: VerdictShed})
	}
	for g.queue.len() > 0 && len(g.running) < g.limiter.Limit() {
		next := g.queue.popBest()
		g.start(now, &next)
		out = append(out, Release{ID: next.id, Verdict: VerdictRun})
	}
	return out
}

func (g *Gate) start(now time.Duration, e *entry) {
	mark := capacity.Mark{At: now, InFlight: int32(len(g.running) + 1)}
	g.running[e.id] = running{mark: mark, priority: e.priority}
}
