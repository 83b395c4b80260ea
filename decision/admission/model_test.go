package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/galenacart/galenacart/decision/priority"
	"github.com/galenacart/galenacart/decision/shedding"
)

// tickInterval is the time between two ticks of a gate.
const tickInterval = 10 * time.Millisecond

// modelTarget is the gate in the callers' memory.
const modelTarget shedding.Target = 1

type eventKind uint8

const (
	eventArrival eventKind = iota
	eventEnd
	eventTick
	eventDeadline
)

type event struct {
	at   time.Duration
	kind eventKind
	id   ID
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// modelCall is what the model knows of one call.
type modelCall struct {
	priority priority.Priority
	offered  time.Duration
	deadline time.Duration
	started  time.Duration
	service  time.Duration // with the time for other services
	below    time.Duration // the time for other services alone
	wait     time.Duration // in the endpoint
	begun    bool
	caller   *shedding.ThresholdTable
}

// tally counts the calls of one rank.
type tally struct {
	offered, answered, shed, tooLate int
}

// model is one gate in front of an endpoint with slots and a queue of its own,
// under an open load. A call that is over its deadline is cancelled.
type model struct {
	gate   *Controller
	slots  int
	mean   time.Duration
	random *rand.Rand
	rate   float64 // calls per second
	// ranks is the share of each rank in the load.
	ranks   []float64
	timeout time.Duration
	// below is the mean time that calls wait for other services while they hold
	// their slots.
	below time.Duration
	// callers refuse by the thresholds that answers report. Empty: none does.
	callers []*shedding.ThresholdTable
	draw    func(*rand.Rand) float64
	// lag is the time in which a threshold reaches the start of the chain, in
	// ticks. 0: calls arrive whatever the threshold.
	lag  int
	seen []priority.Priority // thresholds of the last ticks

	now     time.Duration
	next    ID
	events  events
	calls   map[ID]*modelCall
	busy    int
	waiting []ID // in the endpoint, first come first served

	// What was seen since the last reset.
	counts   []tally
	good     time.Duration // service time of answers in time
	wasted   time.Duration // service time of calls that came to nothing
	inside   time.Duration // time that answered calls waited in the endpoint
	gateWait time.Duration // longest wait of an answered call in the gate
	refused  int           // calls refused at their callers
	shedWait time.Duration // time that calls waited in the gate before they were shed
}

func newModel(slots int, mean time.Duration, load float64, seed uint64) *model {
	m := &model{
		gate:    NewController(Config{SlotsMax: 10 * slots, QueueMax: 1000}),
		slots:   slots,
		mean:    mean,
		random:  rand.New(rand.NewPCG(seed, 2)),
		rate:    load * float64(slots) / mean.Seconds(),
		ranks:   []float64{0.1, 0.9},
		timeout: time.Second,
		draw:    func(r *rand.Rand) float64 { return 0.5 + r.Float64() },
		calls:   make(map[ID]*modelCall),
	}
	m.push(eventArrival, 0, 0)
	m.push(eventTick, tickInterval, 0)
	m.reset()
	return m
}

func (m *model) reset() {
	m.counts = make([]tally, len(m.ranks))
	m.good, m.wasted, m.inside, m.gateWait, m.refused = 0, 0, 0, 0, 0
	m.shedWait = 0
}

func (m *model) push(k eventKind, in time.Duration, id ID) {
	heap.Push(&m.events, event{at: m.now + in, kind: k, id: id})
}

// run advances the model by a time.
func (m *model) run(spend time.Duration) {
	end := m.now + spend
	for m.events[0].at < end {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		switch e.kind {
		case eventArrival:
			m.arrive()
			m.push(eventArrival, time.Duration(m.random.ExpFloat64()/m.rate*float64(time.Second)), 0)
		case eventEnd:
			m.end(e.id)
		case eventDeadline:
			m.cutOff(e.id)
		case eventTick:
			m.follow(m.gate.Tick(m.now, nil))
			m.seen = append(m.seen, m.gate.Threshold(m.now))
			m.push(eventTick, tickInterval, 0)
		}
	}
	m.now = end
}

func (m *model) arrive() {
	m.next++
	rank := 0
	for share := m.random.Float64(); rank < len(m.ranks)-1 && share >= m.ranks[rank]; rank++ {
		share -= m.ranks[rank]
	}
	c := &modelCall{
		priority: priority.New(priority.Rank(rank), m.random.Uint64()),
		offered:  m.now,
		deadline: m.now + m.timeout,
		below:    time.Duration(m.random.ExpFloat64() * float64(m.below)),
		service:  time.Duration(m.draw(m.random) * float64(m.mean)),
	}
	c.service += c.below
	m.count(c).offered++
	if len(m.callers) > 0 {
		c.caller = m.callers[m.random.IntN(len(m.callers))]
		if c.caller.ShouldRefuse(m.now, modelTarget, c.priority) {
			m.refused++
			return
		}
		c.caller.RecordSent(m.now, modelTarget, c.priority)
	}
	if m.lag > 0 && len(m.seen) > m.lag && !c.priority.Before(m.seen[len(m.seen)-m.lag]) {
		m.refused++
		return
	}
	id := m.next
	m.calls[id] = c
	v, out := m.gate.Admit(m.now, Call{ID: id, Priority: c.priority, Deadline: c.deadline}, nil)
	m.decide(id, v)
	m.follow(out)
}

func (m *model) count(c *modelCall) *tally {
	return &m.counts[c.priority.Rank()]
}

func (m *model) follow(out []CallDecision) {
	for _, r := range out {
		m.decide(r.ID, r.Decision)
	}
}

func (m *model) decide(id ID, v Decision) {
	c := m.calls[id]
	switch v {
	case DecisionRun:
		m.handOver(id, c)
	case DecisionShed:
		m.count(c).shed++
		m.shedWait += m.now - c.offered
		m.leave(id, c)
	case DecisionTooLate:
		m.count(c).tooLate++
		m.leave(id, c)
	}
}

// leave tells the caller of an answer or a refusal what the gate sheds now.
func (m *model) leave(id ID, c *modelCall) {
	delete(m.calls, id)
	if c.caller != nil {
		c.caller.Update(m.now, modelTarget, m.gate.Threshold(m.now), uint16(m.gate.Headroom()))
	}
}

func (m *model) handOver(id ID, c *modelCall) {
	c.started = m.now
	m.gateWait = max(m.gateWait, m.now-c.offered)
	m.waiting = append(m.waiting, id)
	m.push(eventDeadline, c.deadline-m.now, id)
	m.work()
}

// work starts what has a slot in the endpoint.
func (m *model) work() {
	for m.busy < m.slots && len(m.waiting) > 0 {
		id := m.waiting[0]
		m.waiting = m.waiting[1:]
		c, known := m.calls[id]
		if !known {
			continue
		}
		c.wait = m.now - c.started
		c.begun = true
		m.busy++
		m.push(eventEnd, c.service, id)
	}
}

func (m *model) end(id ID) {
	c, known := m.calls[id]
	if !known {
		return
	}
	m.busy--
	m.work()
	m.count(c).answered++
	m.good += c.service
	m.inside += c.wait
	m.finish(id, c, OutcomeAnswered)
}

// cutOff cancels a call at its deadline. The endpoint drops it at once.
func (m *model) cutOff(id ID) {
	c, known := m.calls[id]
	if !known {
		return
	}
	if c.begun {
		m.busy--
		m.work()
		m.wasted += m.now - c.started - c.wait
	}
	m.finish(id, c, OutcomeCancelled)
}

func (m *model) finish(id ID, c *modelCall, o Outcome) {
	r := Result{Outcome: o, Duration: m.now - c.started, DownstreamWait: c.below}
	m.follow(m.gate.Complete(m.now, id, r, nil))
	m.leave(id, c)
}

// goodput is the share of what the slots can give that went into answers in
// time.
func (m *model) goodput(spent time.Duration) float64 {
	return m.good.Seconds() / (float64(m.slots) * spent.Seconds())
}
