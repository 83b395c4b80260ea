package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/galenacart/galenacart/decision/priority"
	"github.com/galenacart/galenacart/decision/shedding"
)

// tickInterval is the time between two ticks of the controller.
const tickInterval = 10 * time.Millisecond

// modelTarget identifies the endpoint in the threshold tables of the
// callers.
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

// modelCall is the state of one call.
type modelCall struct {
	priority       priority.Priority
	arrived        time.Duration
	deadline       time.Duration
	startedAt      time.Duration
	serviceTime    time.Duration // includes downstreamWait
	downstreamWait time.Duration // time spent on calls to other services
	endpointWait   time.Duration // time queued in the endpoint
	holdsSlot      bool          // a slot was assigned
	caller         *shedding.ThresholdTable
}

// rankCounts counts the calls of one rank.
type rankCounts struct {
	arrived, answered, shed, tooLate int
}

// model simulates one Controller in front of an endpoint with slots and a
// queue of its own, under an open load. Calls are cancelled at their
// deadlines.
type model struct {
	controller      *Controller
	slots           int
	meanServiceTime time.Duration
	random          *rand.Rand
	rate            float64 // calls per second
	// ranks is the share of each rank in the load.
	ranks   []float64
	timeout time.Duration
	// downstreamWait is the mean time that calls wait for other services
	// while they hold their slots.
	downstreamWait time.Duration
	// callers refuse calls beyond the thresholds that responses report. If
	// empty, no caller refuses calls.
	callers         []*shedding.ThresholdTable
	drawServiceTime func(*rand.Rand) float64
	// thresholdLagTicks is the delay, in ticks, with which thresholds reach the
	// start of the call chain. If 0, the start of the chain refuses no calls.
	thresholdLagTicks int
	thresholds        []priority.Priority // at every tick so far

	now           time.Duration
	lastID        ID
	events        events
	calls         map[ID]*modelCall
	busySlots     int
	endpointQueue []ID // in order of arrival

	// Statistics since the last reset.
	counts            []rankCounts
	goodTime          time.Duration // service time of responses in time
	wastedTime        time.Duration // service time of calls without a response in time
	endpointWaitTotal time.Duration // total time that answered calls were queued in the endpoint
	longestQueueWait  time.Duration // longest time that a started call was queued in the controller
	refusedByCallers  int           // calls refused by their callers
	shedWaitTotal     time.Duration // total time that shed calls were queued in the controller
}

func newModel(slots int, meanServiceTime time.Duration, load float64, seed uint64) *model {
	m := &model{
		controller:      NewController(Config{SlotsMax: 10 * slots, QueueMax: 1000}),
		slots:           slots,
		meanServiceTime: meanServiceTime,
		random:          rand.New(rand.NewPCG(seed, 2)),
		rate:            load * float64(slots) / meanServiceTime.Seconds(),
		ranks:           []float64{0.1, 0.9},
		timeout:         time.Second,
		drawServiceTime: func(r *rand.Rand) float64 { return 0.5 + r.Float64() },
		calls:           make(map[ID]*modelCall),
	}
	m.push(eventArrival, 0, 0)
	m.push(eventTick, tickInterval, 0)
	m.reset()
	return m
}

func (m *model) reset() {
	m.counts = make([]rankCounts, len(m.ranks))
	m.goodTime, m.wastedTime, m.endpointWaitTotal, m.longestQueueWait, m.refusedByCallers = 0, 0, 0, 0, 0
	m.shedWaitTotal = 0
}

func (m *model) push(k eventKind, in time.Duration, id ID) {
	heap.Push(&m.events, event{at: m.now + in, kind: k, id: id})
}

// run advances the model by the given duration.
func (m *model) run(duration time.Duration) {
	end := m.now + duration
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
			m.expire(e.id)
		case eventTick:
			m.applyAll(m.controller.Tick(m.now, nil))
			m.thresholds = append(m.thresholds, m.controller.Threshold(m.now))
			m.push(eventTick, tickInterval, 0)
		}
	}
	m.now = end
}

func (m *model) arrive() {
	m.lastID++
	rank := 0
	for share := m.random.Float64(); rank < len(m.ranks)-1 && share >= m.ranks[rank]; rank++ {
		share -= m.ranks[rank]
	}
	c := &modelCall{
		priority:       priority.New(priority.Rank(rank), m.random.Uint64()),
		arrived:        m.now,
		deadline:       m.now + m.timeout,
		downstreamWait: time.Duration(m.random.ExpFloat64() * float64(m.downstreamWait)),
		serviceTime:    time.Duration(m.drawServiceTime(m.random) * float64(m.meanServiceTime)),
	}
	c.serviceTime += c.downstreamWait
	m.countsOf(c).arrived++
	if len(m.callers) > 0 {
		c.caller = m.callers[m.random.IntN(len(m.callers))]
		if c.caller.ShouldRefuse(m.now, modelTarget, c.priority) {
			m.refusedByCallers++
			return
		}
		c.caller.RecordSent(m.now, modelTarget, c.priority)
	}
	if m.thresholdLagTicks > 0 && len(m.thresholds) > m.thresholdLagTicks && !c.priority.HigherThan(m.thresholds[len(m.thresholds)-m.thresholdLagTicks]) {
		m.refusedByCallers++
		return
	}
	id := m.lastID
	m.calls[id] = c
	decision, out := m.controller.Admit(m.now, Call{ID: id, Priority: c.priority, Deadline: c.deadline}, nil)
	m.apply(id, decision)
	m.applyAll(out)
}

func (m *model) countsOf(c *modelCall) *rankCounts {
	return &m.counts[c.priority.Rank()]
}

func (m *model) applyAll(out []CallDecision) {
	for _, d := range out {
		m.apply(d.ID, d.Decision)
	}
}

func (m *model) apply(id ID, decision Decision) {
	c := m.calls[id]
	switch decision {
	case DecisionRun:
		m.sendToEndpoint(id, c)
	case DecisionShed:
		m.countsOf(c).shed++
		m.shedWaitTotal += m.now - c.arrived
		m.removeCall(id, c)
	case DecisionTooLate:
		m.countsOf(c).tooLate++
		m.removeCall(id, c)
	}
}

// removeCall removes a finished call. Its response or refusal reports the
// current threshold to the caller.
func (m *model) removeCall(id ID, c *modelCall) {
	delete(m.calls, id)
	if c.caller != nil {
		c.caller.Update(m.now, modelTarget, m.controller.Threshold(m.now), uint16(m.controller.Headroom()))
	}
}

func (m *model) sendToEndpoint(id ID, c *modelCall) {
	c.startedAt = m.now
	m.longestQueueWait = max(m.longestQueueWait, m.now-c.arrived)
	m.endpointQueue = append(m.endpointQueue, id)
	m.push(eventDeadline, c.deadline-m.now, id)
	m.startQueued()
}

// startQueued starts calls from the endpoint's queue while slots are free.
func (m *model) startQueued() {
	for m.busySlots < m.slots && len(m.endpointQueue) > 0 {
		id := m.endpointQueue[0]
		m.endpointQueue = m.endpointQueue[1:]
		c, known := m.calls[id]
		if !known {
			continue
		}
		c.endpointWait = m.now - c.startedAt
		c.holdsSlot = true
		m.busySlots++
		m.push(eventEnd, c.serviceTime, id)
	}
}

func (m *model) end(id ID) {
	c, known := m.calls[id]
	if !known {
		return
	}
	m.busySlots--
	m.startQueued()
	m.countsOf(c).answered++
	m.goodTime += c.serviceTime
	m.endpointWaitTotal += c.endpointWait
	m.complete(id, c, OutcomeAnswered)
}

// expire cancels a call at its deadline. The endpoint drops it at once.
func (m *model) expire(id ID) {
	c, known := m.calls[id]
	if !known {
		return
	}
	if c.holdsSlot {
		m.busySlots--
		m.startQueued()
		m.wastedTime += m.now - c.startedAt - c.endpointWait
	}
	m.complete(id, c, OutcomeCancelled)
}

func (m *model) complete(id ID, c *modelCall, o Outcome) {
	r := Result{Outcome: o, Duration: m.now - c.startedAt, DownstreamWait: c.downstreamWait}
	m.applyAll(m.controller.Complete(m.now, id, r, nil))
	m.removeCall(id, c)
}

// goodput is the share of the slots' capacity that was spent on responses in
// time.
func (m *model) goodput(duration time.Duration) float64 {
	return m.goodTime.Seconds() / (float64(m.slots) * duration.Seconds())
}
