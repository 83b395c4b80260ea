package capacity

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fixed never learns.
type fixed struct{ limit int }

func (f *fixed) Limit() int                                        { return f.limit }
func (f *fixed) RecordStart(time.Duration, int) CallStart          { return CallStart{} }
func (f *fixed) RecordEnd(time.Duration, CallStart, time.Duration) {}
func (f *fixed) RecordRefusal(time.Duration, CallStart)            {}

const (
	// windowSize is the number of answers after which the other ways move.
	windowSize = 64
	// leastFor is the number of windows for which a least time is remembered.
	leastFor = 100
)

// window collects answers and remembers the least mean time of recent windows.
type window struct {
	count, age int
	sum, least float64
}

// add reports whether the window is full and the ratio of the least mean to the
// present one.
func (w *window) add(took time.Duration) (ratio float64, full bool) {
	w.count++
	w.sum += took.Seconds()
	if w.count < windowSize {
		return 0, false
	}
	mean := w.sum / float64(w.count)
	w.age++
	if w.least == 0 || mean < w.least || w.age > leastFor {
		w.least, w.age = mean, 0
	}
	w.sum, w.count = 0, 0
	return w.least / mean, true
}

// gradient scales the limit by the least time to answer over the present one
// and adds a square root for a queue.
type gradient struct {
	fixed
	window
	limit, ceiling float64
}

func (g *gradient) Limit() int { return int(math.Round(g.limit)) }

func (g *gradient) RecordEnd(_ time.Duration, _ CallStart, took time.Duration) {
	ratio, full := g.add(took)
	if !full {
		return
	}
	aim := g.limit*max(0.5, ratio) + math.Sqrt(g.limit)
	g.limit = max(1, min(g.ceiling, 0.8*g.limit+0.2*aim))
}

// additive adds one call while answers take less than 1.3 times the least time
// and takes a tenth off otherwise.
type additive struct {
	fixed
	window
	limit, ceiling float64
}

func (a *additive) Limit() int { return int(math.Round(a.limit)) }

func (a *additive) RecordEnd(_ time.Duration, _ CallStart, took time.Duration) {
	ratio, full := a.add(took)
	switch {
	case !full:
	case ratio < 1/1.3:
		a.limit = max(1, a.limit*0.9)
	default:
		a.limit = min(a.ceiling, a.limit+1)
	}
}

// score is the mean of a way over some seeds, at its worst distribution.
type score struct {
	steady, steadyTook float64
	slow, slowTook     float64
	after, afterTook   float64
}

// waySlots is the size of the endpoints on which ways are compared.
const waySlots = 20

func worst(newLearner func(ceiling int) learner) score {
	w := score{steady: 1, slow: 1, after: 1}
	for _, d := range distributions {
		s := mean(d.draw, newLearner)
		w.steady = min(w.steady, s.steady)
		w.slow = min(w.slow, s.slow)
		w.after = min(w.after, s.after)
		w.steadyTook = max(w.steadyTook, s.steadyTook)
		w.slowTook = max(w.slowTook, s.slowTook)
		w.afterTook = max(w.afterTook, s.afterTook)
	}
	return w
}

func mean(d distribution, newLearner func(ceiling int) learner) score {
	s := score{}
	for seed := uint64(1); seed <= seeds; seed++ {
		e := newEndpoint(waySlots, serviceTime, d, seed)
		l := newLearner(10 * waySlots)
		take := func(throughput, took *float64) {
			o := e.run(l, measureTime)
			*throughput += o.throughput(e) / seeds
			*took += o.meanTook() / seeds
		}
		e.run(l, settleTime)
		take(&s.steady, &s.steadyTook)
		e.mean *= 5
		e.run(l, settleTime)
		take(&s.slow, &s.slowTook)
		e.mean /= 5
		e.run(l, time.Second)
		take(&s.after, &s.afterTook)
	}
	return s
}

// The other ways that were weighed, each on the same endpoints. Only one keeps
// both throughput and time to answer.
func TestWays(t *testing.T) {
	ways := []struct {
		desc  string
		make  func(ceiling int) learner
		holds bool
	}{
		{"the ceiling", func(ceiling int) learner { return &fixed{limit: ceiling} }, false},
		{"gradient", func(ceiling int) learner {
			return &gradient{limit: initialLimit, ceiling: float64(ceiling)}
		}, false},
		{"additive", func(ceiling int) learner {
			return &additive{limit: initialLimit, ceiling: float64(ceiling)}
		}, false},
		{"two levels", func(ceiling int) learner { return NewLimiter(ceiling) }, true},
	}
	for _, way := range ways {
		t.Run(way.desc, func(t *testing.T) {
			s := worst(way.make)
			t.Logf("throughput: steady %.2f, slow %.2f, after %.2f; time to answer: steady %.2f, slow %.2f, after %.2f",
				s.steady, s.slow, s.after, s.steadyTook, s.slowTook, s.afterTook)
			throughput := min(s.steady, s.slow, s.after)
			took := max(s.steadyTook, s.slowTook, s.afterTook)
			require.Equal(t, way.holds, throughput >= throughputMin && took <= tookMax)
		})
	}
}
