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

// nearlyConstant keeps calls from running in lockstep.
func nearlyConstant(r *rand.Rand) float64 { return 0.95 + 0.1*r.Float64() }

func exponential(r *rand.Rand) float64 { return r.ExpFloat64() }

// bimodal is one long call among nine short ones.
func bimodal(r *rand.Rand) float64 {
	if r.IntN(10) == 0 {
		return 5.5
	}
	return 0.5
}

func lognormal(r *rand.Rand) float64 { return math.Exp(r.NormFloat64()*0.8 - 0.32) }

// flight is one call at the endpoint.
type flight struct {
	mark    CallStart
	start   time.Duration // hand-over
	end     time.Duration
	service time.Duration
	refused bool
}

type flights []flight

func (f flights) Len() int           { return len(f) }
func (f flights) Less(i, j int) bool { return f[i].end < f[j].end }
func (f flights) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *flights) Push(x any)        { *f = append(*f, x.(flight)) }
func (f *flights) Pop() any {
	last := len(*f) - 1
	x := (*f)[last]
	*f = (*f)[:last]
	return x
}

// learner is what the model drives.
type learner interface {
	Limit() int
	RecordStart(now time.Duration, inFlight int) CallStart
	RecordEnd(now time.Duration, m CallStart, took time.Duration)
	RecordRefusal(now time.Duration, m CallStart)
}

// endpoint is a model of an endpoint with slots and a queue of its own, under a
// demand that always fills the limit.
type endpoint struct {
	slots    int
	queueMax int // calls over slots and queueMax are refused; -1: none
	mean     time.Duration
	draw     distribution
	random   *rand.Rand

	now    time.Duration
	free   []time.Duration // when each slot is free
	flying flights
}

// refusalTakes is the time until the model's refusal is back.
const refusalTakes = time.Millisecond

func newEndpoint(slots int, mean time.Duration, d distribution, seed uint64) *endpoint {
	return &endpoint{
		slots:    slots,
		queueMax: -1,
		mean:     mean,
		draw:     d,
		free:     make([]time.Duration, slots),
		random:   rand.New(rand.NewPCG(seed, 1)),
	}
}

// outcome sums up a run of the model.
type outcome struct {
	answers int
	refused int
	took    time.Duration
	work    time.Duration // service time of the answers
	spent   time.Duration
}

// throughput is relative to what the slots can give.
func (o *outcome) throughput(e *endpoint) float64 {
	return o.work.Seconds() / (float64(e.slots) * o.spent.Seconds())
}

// meanTook is the mean time to answer relative to the mean service time.
func (o *outcome) meanTook() float64 {
	return o.took.Seconds() / o.work.Seconds()
}

// run drives l for a time.
func (e *endpoint) run(l learner, spend time.Duration) outcome {
	o := outcome{spent: spend}
	end := e.now + spend
	for e.now < end {
		for len(e.flying) < l.Limit() {
			e.handOver(l)
		}
		f := heap.Pop(&e.flying).(flight)
		e.now = f.end
		if f.refused {
			o.refused++
			l.RecordRefusal(e.now, f.mark)
			continue
		}
		o.answers++
		o.took += f.end - f.start
		o.work += f.service
		l.RecordEnd(e.now, f.mark, f.end-f.start)
	}
	return o
}

func (e *endpoint) handOver(l learner) {
	f := flight{start: e.now, mark: l.RecordStart(e.now, len(e.flying)+1)}
	if e.queueMax >= 0 && e.accepted() >= e.slots+e.queueMax {
		f.refused = true
		f.end = e.now + refusalTakes
		heap.Push(&e.flying, f)
		return
	}
	slot := 0
	for i := range e.free[:e.slots] {
		if e.free[i] < e.free[slot] {
			slot = i
		}
	}
	begin := max(e.now, e.free[slot])
	f.service = time.Duration(e.draw(e.random) * float64(e.mean))
	f.end = begin + f.service
	e.free[slot] = f.end
	heap.Push(&e.flying, f)
}

func (e *endpoint) accepted() int {
	n := 0
	for i := range e.flying {
		if !e.flying[i].refused {
			n++
		}
	}
	return n
}
