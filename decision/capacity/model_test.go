package capacity

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// distribution draws service times with mean 1.
type distribution func(r *rand.Rand) float64

func constant(*rand.Rand) float64 { return 1 }

// nearlyConstant varies enough to prevent calls from running in lockstep.
func nearlyConstant(r *rand.Rand) float64 { return 0.95 + 0.1*r.Float64() }

func exponential(r *rand.Rand) float64 { return r.ExpFloat64() }

// bimodal draws one long service time per nine short ones.
func bimodal(r *rand.Rand) float64 {
	if r.IntN(10) == 0 {
		return 5.5
	}
	return 0.5
}

func lognormal(r *rand.Rand) float64 { return math.Exp(r.NormFloat64()*0.8 - 0.32) }

// runningCall is one call in flight.
type runningCall struct {
	callStart CallStart
	start     time.Duration
	end       time.Duration
	service   time.Duration
	refused   bool
}

type runningCalls []runningCall

func (r runningCalls) Len() int           { return len(r) }
func (r runningCalls) Less(i, j int) bool { return r[i].end < r[j].end }
func (r runningCalls) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *runningCalls) Push(x any)        { *r = append(*r, x.(runningCall)) }
func (r *runningCalls) Pop() any {
	last := len(*r) - 1
	x := (*r)[last]
	*r = (*r)[:last]
	return x
}

// limitPolicy is a concurrency limit under test.
type limitPolicy interface {
	Limit() int
	RecordStart(now time.Duration, inFlight int) CallStart
	RecordEnd(now time.Duration, start CallStart, duration time.Duration)
	RecordRefusal(now time.Duration, start CallStart)
}

// endpoint simulates an endpoint with slots and a queue of its own, under a
// demand that always reaches the limit.
type endpoint struct {
	slots           int
	queueMax        int           // calls over slots+queueMax are refused; -1: unlimited
	mean            time.Duration // of the service times
	drawServiceTime distribution
	random          *rand.Rand

	now        time.Duration
	slotFreeAt []time.Duration // per slot
	running    runningCalls
}

// refusalDelay is the time until a refusal of the model arrives.
const refusalDelay = time.Millisecond

func newEndpoint(slots int, mean time.Duration, d distribution, seed uint64) *endpoint {
	return &endpoint{
		slots:           slots,
		queueMax:        -1,
		mean:            mean,
		drawServiceTime: d,
		slotFreeAt:      make([]time.Duration, slots),
		random:          rand.New(rand.NewPCG(seed, 1)),
	}
}

// runStats sums up a run of the model.
type runStats struct {
	answered          int
	refused           int
	totalResponseTime time.Duration
	totalServiceTime  time.Duration // of the answered calls
	elapsed           time.Duration
}

// throughput is relative to the capacity of the slots.
func (o *runStats) throughput(e *endpoint) float64 {
	return o.totalServiceTime.Seconds() / (float64(e.slots) * o.elapsed.Seconds())
}

// responseTimeRatio is the mean response time relative to the mean service
// time.
func (o *runStats) responseTimeRatio() float64 {
	return o.totalResponseTime.Seconds() / o.totalServiceTime.Seconds()
}

// run simulates the endpoint under l for the given duration.
func (e *endpoint) run(l limitPolicy, duration time.Duration) runStats {
	o := runStats{elapsed: duration}
	end := e.now + duration
	for e.now < end {
		for len(e.running) < l.Limit() {
			e.startCall(l)
		}
		call := heap.Pop(&e.running).(runningCall)
		e.now = call.end
		if call.refused {
			o.refused++
			l.RecordRefusal(e.now, call.callStart)
			continue
		}
		o.answered++
		o.totalResponseTime += call.end - call.start
		o.totalServiceTime += call.service
		l.RecordEnd(e.now, call.callStart, call.end-call.start)
	}
	return o
}

func (e *endpoint) startCall(l limitPolicy) {
	call := runningCall{start: e.now, callStart: l.RecordStart(e.now, len(e.running)+1)}
	if e.queueMax >= 0 && e.accepted() >= e.slots+e.queueMax {
		call.refused = true
		call.end = e.now + refusalDelay
		heap.Push(&e.running, call)
		return
	}
	slot := 0
	for i := range e.slotFreeAt[:e.slots] {
		if e.slotFreeAt[i] < e.slotFreeAt[slot] {
			slot = i
		}
	}
	begin := max(e.now, e.slotFreeAt[slot])
	call.service = time.Duration(e.drawServiceTime(e.random) * float64(e.mean))
	call.end = begin + call.service
	e.slotFreeAt[slot] = call.end
	heap.Push(&e.running, call)
}

func (e *endpoint) accepted() int {
	n := 0
	for i := range e.running {
		if !e.running[i].refused {
			n++
		}
	}
	return n
}
