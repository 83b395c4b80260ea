package capacity

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fixed is a constant limit.
type fixed struct{ limit int }

func (f *fixed) Limit() int                                        { return f.limit }
func (f *fixed) RecordStart(time.Duration, int) CallStart          { return CallStart{} }
func (f *fixed) RecordEnd(time.Duration, CallStart, time.Duration) {}
func (f *fixed) RecordRefusal(time.Duration, CallStart)            {}

const (
	// windowSize is the number of responses per adjustment of the alternative
	// policies.
	windowSize = 64
	// leastTimeWindows is the number of windows for which the least mean is
	// kept.
	leastTimeWindows = 100
)

// window averages response times and keeps the least mean of recent windows.
type window struct {
	count, age     int
	sum, leastMean float64
}

// add reports whether the window is full and, if so, the ratio of the least
// mean to the current one.
func (w *window) add(responseTime time.Duration) (ratio float64, full bool) {
	w.count++
	w.sum += responseTime.Seconds()
	if w.count < windowSize {
		return 0, false
	}
	mean := w.sum / float64(w.count)
	w.age++
	if w.leastMean == 0 || mean < w.leastMean || w.age > leastTimeWindows {
		w.leastMean, w.age = mean, 0
	}
	w.sum, w.count = 0, 0
	return w.leastMean / mean, true
}

// gradient scales the limit by the least response time over the current one
// and adds its square root as queue allowance.
type gradient struct {
	fixed
	window
	limit, ceiling float64
}

func (g *gradient) Limit() int { return int(math.Round(g.limit)) }

func (g *gradient) RecordEnd(_ time.Duration, _ CallStart, responseTime time.Duration) {
	ratio, full := g.add(responseTime)
	if !full {
		return
	}
	aim := g.limit*max(0.5, ratio) + math.Sqrt(g.limit)
	g.limit = max(1, min(g.ceiling, 0.8*g.limit+0.2*aim))
}

// additive raises the limit by one call while response times are less than 1.3
// times the least one, and lowers it by a tenth otherwise.
type additive struct {
	fixed
	window
	limit, ceiling float64
}

func (a *additive) Limit() int { return int(math.Round(a.limit)) }

func (a *additive) RecordEnd(_ time.Duration, _ CallStart, responseTime time.Duration) {
	ratio, full := a.add(responseTime)
	switch {
	case !full:
	case ratio < 1/1.3:
		a.limit = max(1, a.limit*0.9)
	default:
		a.limit = min(a.ceiling, a.limit+1)
	}
}

// policyScore is the mean throughput and response time ratio of a policy over
// some seeds, at its worst distribution.
type policyScore struct {
	steady, steadyRatio float64
	slow, slowRatio     float64
	after, afterRatio   float64
}

// policySlots is the number of slots of the endpoints on which policies are
// compared.
const policySlots = 20

func worstScore(newPolicy func(ceiling int) limitPolicy) policyScore {
	w := policyScore{steady: 1, slow: 1, after: 1}
	for _, d := range distributions {
		s := mean(d.draw, newPolicy)
		w.steady = min(w.steady, s.steady)
		w.slow = min(w.slow, s.slow)
		w.after = min(w.after, s.after)
		w.steadyRatio = max(w.steadyRatio, s.steadyRatio)
		w.slowRatio = max(w.slowRatio, s.slowRatio)
		w.afterRatio = max(w.afterRatio, s.afterRatio)
	}
	return w
}

func mean(d distribution, newPolicy func(ceiling int) limitPolicy) policyScore {
	s := policyScore{}
	for seed := uint64(1); seed <= seeds; seed++ {
		e := newEndpoint(policySlots, serviceTime, d, seed)
		l := newPolicy(10 * policySlots)
		measure := func(throughput, ratio *float64) {
			o := e.run(l, measureTime)
			*throughput += o.throughput(e) / seeds
			*ratio += o.responseTimeRatio() / seeds
		}
		e.run(l, settleTime)
		measure(&s.steady, &s.steadyRatio)
		e.mean *= 5
		e.run(l, settleTime)
		measure(&s.slow, &s.slowRatio)
		e.mean /= 5
		e.run(l, time.Second)
		measure(&s.after, &s.afterRatio)
	}
	return s
}

// TestLimitPolicies compares the Limiter with alternative policies on the same endpoints. Only
// the Limiter satisfies the bounds on both throughput and response time.
func TestLimitPolicies(t *testing.T) {
	policies := []struct {
		desc        string
		make        func(ceiling int) limitPolicy
		meetsBounds bool
	}{
		{"fixed", func(ceiling int) limitPolicy { return &fixed{limit: ceiling} }, false},
		{"gradient", func(ceiling int) limitPolicy {
			return &gradient{limit: initialLimit, ceiling: float64(ceiling)}
		}, false},
		{"additive", func(ceiling int) limitPolicy {
			return &additive{limit: initialLimit, ceiling: float64(ceiling)}
		}, false},
		{"limiter", func(ceiling int) limitPolicy { return NewLimiter(ceiling) }, true},
	}
	for _, policy := range policies {
		t.Run(policy.desc, func(t *testing.T) {
			s := worstScore(policy.make)
			t.Logf("throughput: steady %.2f, slow %.2f, after %.2f; response time ratio: steady %.2f, slow %.2f, after %.2f",
				s.steady, s.slow, s.after, s.steadyRatio, s.slowRatio, s.afterRatio)
			throughput := min(s.steady, s.slow, s.after)
			responseTimeRatio := max(s.steadyRatio, s.slowRatio, s.afterRatio)
			require.Equal(t, policy.meetsBounds, throughput >= throughputMin && responseTimeRatio <= responseTimeRatioMax)
		})
	}
}
