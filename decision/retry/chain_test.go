package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// chainFleet is a fleet whose services call each other in a chain. All nodes decide by
// NodeLimit and ServiceBudget, and the fleet counts as its operators do: each arrival
// beyond the first of a call is extra, and so is each arrival of a call of an extra run.
type chainFleet struct {
	fleet   FleetBudget
	fanOut  []int // calls of one run, by level
	nodes   []chainNode
	random  *rand.Rand
	failing func(level int, now time.Duration) bool
	now     time.Duration
	calls   [][]time.Duration // without those of extra runs, by level
	extra   [][]time.Duration // by level
}

type chainNode struct {
	startedAt time.Duration
	budgets   []*ServiceBudget // by level
}

const chainAttemptsMax = 3

func newChainFleet(levels, nodes int, seed uint64) *chainFleet {
	f := &chainFleet{
		fleet: FleetBudget{Ratio: 0.2, Allowance: 50, Window: span}, fanOut: make([]int, levels), nodes: make([]chainNode, nodes),
		random: rand.New(rand.NewPCG(seed, 1)), calls: make([][]time.Duration, levels), extra: make([][]time.Duration, levels),
	}
	for level := range f.fanOut[:levels-1] {
		f.fanOut[level] = 1
	}
	f.fanOut[f.random.IntN(levels-1)] = 4
	f.fanOut[levels-2] = 4
	f.fanOut[levels-1] = 0
	f.restart()
	return f
}

// restart starts a new process at every node.
func (f *chainFleet) restart() {
	for i := range f.nodes {
		f.nodes[i] = chainNode{startedAt: f.now, budgets: make([]*ServiceBudget, len(f.fanOut))}
		for level := range f.fanOut {
			f.nodes[i].budgets[level] = &ServiceBudget{}
		}
	}
}

// call makes one call to the service of a level, with its extra attempts and the calls of
// all its runs.
func (f *chainFleet) call(level int, ofExtraRun bool) {
	if ofExtraRun {
		f.extra[level] = append(f.extra[level], f.now)
	} else {
		f.calls[level] = append(f.calls[level], f.now)
	}
	n := &f.nodes[f.random.IntN(len(f.nodes))]
	uptime := f.now - n.startedAt
	n.budgets[level].RecordCall(uptime, span)
	f.run(level, ofExtraRun)
	depth := Depth(len(f.fanOut) - 1 - level)
	for attempt := 1; attempt < chainAttemptsMax && f.failing(level, f.now); attempt++ {
		if !n.budgets[level].Spend(uptime, span, f.fleet.NodeLimit(uptime, len(f.nodes), depth)) {
			return
		}
		f.extra[level] = append(f.extra[level], f.now)
		f.run(level, true)
	}
}

func (f *chainFleet) run(level int, extra bool) {
	for range f.fanOut[level] {
		f.call(level+1, extra)
	}
}

// requireWithinBudget checks each window that starts with an extra arrival.
func (f *chainFleet) requireWithinBudget(t *testing.T) {
	t.Helper()
	for level := range f.fanOut {
		for _, from := range f.extra[level] {
			most := max(countIn(f.calls[level], from), countIn(f.calls[level], from-span), countIn(f.calls[level], from-span/2))
			allowed := f.fleet.Ratio*float64(most) + f.fleet.Allowance
			require.LessOrEqual(t, float64(countIn(f.extra[level], from)), allowed, "level %d of %d, fan-out %v, window from %s", level, len(f.fanOut), f.fanOut, from)
		}
	}
}

// countIn returns how many of the ascending times lie in the window that starts at from.
func countIn(times []time.Duration, from time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearch(times, from+span)
	return end - first
}

// TestChainOfAnyDepthStaysWithinTheRetryBudget plays chains of 3 to 12 services with up to 16
// calls of the last one for each request, while services lose answers.
func TestChainOfAnyDepthStaysWithinTheRetryBudget(t *testing.T) {
	tests := []struct {
		desc     string
		failing  func(random *rand.Rand, level int, now time.Duration) bool
		restarts []time.Duration
	}{
		{desc: "all services lose a third of their answers", failing: func(random *rand.Rand, _ int, _ time.Duration) bool {
			return random.Float64() < 0.3
		}},
		{desc: "all services lose all answers in bursts less than a window apart", failing: func(_ *rand.Rand, _ int, now time.Duration) bool {
			return now%(span*93/100) > span*9/10
		}},
		{desc: "the first services lose answers after a calm time", failing: func(_ *rand.Rand, level int, now time.Duration) bool {
			return now > 2*span && level < 3
		}},
		{desc: "all nodes are killed while answers are lost", failing: func(random *rand.Rand, _ int, _ time.Duration) bool {
			return random.Float64() < 0.5
		}, restarts: []time.Duration{25 * time.Second, 33 * time.Second}},
	}
	for _, test := range tests {
		for levels := 3; levels <= 12; levels++ {
			t.Run(fmt.Sprintf("%s, %d services", test.desc, levels), func(t *testing.T) {
				f := newChainFleet(levels, 6, uint64(levels))
				f.failing = func(level int, now time.Duration) bool { return test.failing(f.random, level, now) }
				restarts := test.restarts
				for ; f.now < 45*time.Second; f.now += time.Duration(f.random.IntN(100)) * time.Millisecond {
					if len(restarts) > 0 && f.now >= restarts[0] {
						restarts = restarts[1:]
						f.restart()
					}
					f.call(0, false)
				}
				f.requireWithinBudget(t)
			})
		}
	}
}
