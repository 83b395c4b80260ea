package routing

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestPick(t *testing.T) {
	near := Candidate{VM: "near"}
	region := Candidate{VM: "region", Distance: SameRegion}
	far := Candidate{VM: "far", Distance: OtherRegion}
	with := func(c Candidate, change func(*Candidate)) Candidate {
		change(&c)
		return c
	}
	tests := []struct {
		desc       string
		candidates []Candidate
		prepare    func(r *Router)
		want       string
		failure    PickFailure
	}{
		{desc: "same zone is preferred", candidates: []Candidate{far, region, near}, want: "near"},
		{
			desc: "spills over when the same zone has no headroom", candidates: []Candidate{near, region, far},
			prepare: func(r *Router) {
				r.Start(0, "near")
				r.Finish(0, "near", AttemptResult{Headroom: 0})
			},
			want: "region",
		},
		{
			desc: "spreads over the region when no endpoint has headroom", candidates: []Candidate{near, region, far},
			prepare: func(r *Router) {
				for _, vm := range []string{"near", "region", "far"} {
					r.Start(0, vm)
					r.Finish(0, vm, AttemptResult{Headroom: 0})
				}
				for range 5 {
					r.Start(0, "near")
				}
			},
			want: "region",
		},
		{desc: "skips a leaving endpoint", candidates: []Candidate{with(near, func(c *Candidate) { c.Leaving = true }), region}, want: "region"},
		{desc: "skips a tried endpoint", candidates: []Candidate{with(near, func(c *Candidate) { c.Tried = true }), region}, want: "region"},
		{desc: "every endpoint sheds", candidates: []Candidate{with(near, func(c *Candidate) { c.Shedding = true })}, failure: PickFailureShedding},
		{desc: "no endpoint left", candidates: []Candidate{with(near, func(c *Candidate) { c.Tried = true })}, failure: PickFailureNoEndpoint},
		{
			desc: "ejects an unreachable endpoint", candidates: []Candidate{near, region},
			prepare: func(r *Router) {
				r.Start(0, "near")
				r.Finish(0, "near", AttemptResult{Outcome: OutcomeUnreachable})
			},
			want: "region",
		},
		{
			desc: "never ejects all endpoints", candidates: []Candidate{near},
			prepare: func(r *Router) {
				r.Start(0, "near")
				r.Finish(0, "near", AttemptResult{Outcome: OutcomeUnreachable})
			},
			want: "near",
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			r := NewRouter()
			if test.prepare != nil {
				test.prepare(r)
			}
			index, failure := r.Pick(time.Millisecond, test.candidates, 12345)
			require.Equal(t, test.failure, failure)
			if test.want != "" {
				require.Equal(t, test.want, test.candidates[index].VM)
			}
		})
	}
}

func TestPickNeverReturnsAnUnusableCandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRouter()
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 600).Draw(t, "pause")) * time.Millisecond
			candidates := make([]Candidate, rapid.IntRange(0, 6).Draw(t, "candidates"))
			usable := 0
			for i := range candidates {
				candidates[i] = Candidate{
					VM:       strconv.Itoa(i),
					Distance: Distance(rapid.IntRange(0, 2).Draw(t, "distance")),
					Leaving:  rapid.Bool().Draw(t, "leaving"),
					Shedding: rapid.Bool().Draw(t, "shedding"),
					Tried:    rapid.Bool().Draw(t, "tried"),
				}
				if c := candidates[i]; !c.Leaving && !c.Shedding && !c.Tried {
					usable++
				}
			}
			index, failure := r.Pick(now, candidates, rapid.Uint64().Draw(t, "random"))
			if usable == 0 {
				require.Equal(t, -1, index)
				require.NotEqual(t, PickFailureNone, failure)
				continue
			}
			require.Equal(t, PickFailureNone, failure)
			c := candidates[index]
			require.False(t, c.Leaving || c.Shedding || c.Tried)
			r.Start(now, c.VM)
			r.Finish(now, c.VM, AttemptResult{
				Outcome:  Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")),
				Headroom: rapid.IntRange(0, 3).Draw(t, "headroom"),
			})
		}
	})
}

func TestSlowEndpointGetsFewerCalls(t *testing.T) {
	r := NewRouter()
	candidates := []Candidate{{VM: "fast"}, {VM: "slow"}}
	took := map[string]time.Duration{"fast": 10 * time.Millisecond, "slow": 50 * time.Millisecond}
	random := rand.New(rand.NewPCG(1, 2))
	count := map[string]int{}
	now := 10 * time.Second
	for range 1000 {
		index, _ := r.Pick(now, candidates, random.Uint64())
		vm := candidates[index].VM
		count[vm]++
		r.Start(now, vm)
		r.Finish(now+took[vm], vm, AttemptResult{Latency: took[vm], Headroom: 5})
		now += 10 * time.Millisecond
	}
	require.Greater(t, count["fast"], 2*count["slow"])
	require.Positive(t, count["slow"], "the slow endpoint is still picked when both random draws select it")
}

func TestAnsweredProbeEndsEjection(t *testing.T) {
	r := NewRouter()
	candidates := []Candidate{{VM: "a"}, {VM: "b", Distance: SameRegion}}
	pick := func(now time.Duration) string {
		index, _ := r.Pick(now, candidates, 0)
		return candidates[index].VM
	}
	r.Start(0, "a")
	r.Finish(0, "a", AttemptResult{Outcome: OutcomeStalled})
	require.Empty(t, r.DueProbes(ejectBase-1, nil))
	require.Equal(t, []string{"a"}, r.DueProbes(ejectBase, nil))
	require.Empty(t, r.DueProbes(ejectBase, nil), "one probe at a time")
	require.Equal(t, "b", pick(ejectBase))

	r.RecordProbe(ejectBase, "a", false)
	require.Equal(t, "b", pick(ejectBase))
	require.Empty(t, r.DueProbes(ejectBase+2*ejectBase-1, nil), "the ejection time doubles")
	require.Equal(t, []string{"a"}, r.DueProbes(ejectBase+2*ejectBase, nil))
	r.RecordProbe(3*ejectBase, "a", true)
	require.Equal(t, "a", pick(3*ejectBase))

	// A call is answered during the probe; the next failure is probed again.
	r.Start(0, "a")
	r.Start(0, "a")
	r.Finish(4*ejectBase, "a", AttemptResult{Outcome: OutcomeStalled})
	require.Equal(t, []string{"a"}, r.DueProbes(5*ejectBase, nil))
	r.Finish(5*ejectBase, "a", AttemptResult{Headroom: 9})
	r.RecordProbe(5*ejectBase, "a", false)
	require.Equal(t, "a", pick(5*ejectBase))
	r.Start(0, "a")
	r.Finish(5*ejectBase, "a", AttemptResult{Outcome: OutcomeUnreachable})
	require.Equal(t, []string{"a"}, r.DueProbes(6*ejectBase, nil))
}

func TestPickSameZone(t *testing.T) {
	r := NewRouter()
	candidates := []Candidate{{VM: "far", Distance: SameRegion}, {VM: "near"}}
	r.Start(0, "near")
	r.Start(0, "near")
	r.Finish(0, "near", AttemptResult{Headroom: 0})
	index, _ := r.Pick(0, candidates, 0)
	require.Equal(t, 0, index, "spills over")
	require.Equal(t, 1, r.PickSameZone(0, candidates, 0), "without headroom")
	r.Finish(0, "near", AttemptResult{Outcome: OutcomeStalled})
	require.Equal(t, -1, r.PickSameZone(0, candidates, 0), "excludes an ejected endpoint")
}

func TestRequestedProbePrecedesFailure(t *testing.T) {
	r := NewRouter()
	candidates := []Candidate{{VM: "a"}, {VM: "b", Distance: SameRegion}}
	r.RequestProbe("unknown")
	r.Start(0, "a")
	r.RequestProbe("a")
	require.Equal(t, []string{"a"}, r.DueProbes(0, nil))
	r.RequestProbe("a")
	require.Empty(t, r.DueProbes(0, nil), "one probe at a time")
	index, _ := r.Pick(0, candidates, 0)
	require.Equal(t, 0, index, "a requested probe alone does not eject the endpoint")
	r.RecordProbe(0, "a", false)
	index, _ = r.Pick(0, candidates, 0)
	require.Equal(t, 1, index)
	r.RecordProbe(0, "a", true)
	r.RequestProbe("a")
	r.Finish(0, "a", AttemptResult{})
	require.Empty(t, r.DueProbes(0, nil), "an answered call replaces the requested probe")
}

func BenchmarkPick(b *testing.B) {
	r := NewRouter()
	candidates := make([]Candidate, 16)
	for i := range candidates {
		candidates[i] = Candidate{VM: "vm-" + strconv.Itoa(i), Distance: Distance(i % 3)}
		r.Start(0, candidates[i].VM)
		r.Finish(0, candidates[i].VM, AttemptResult{Latency: time.Millisecond, Headroom: 3})
	}
	b.ReportAllocs()
	for i := range b.N {
		_, _ = r.Pick(time.Millisecond, candidates, uint64(i)*0x9e3779b97f4a7c15)
	}
}

func TestPickDoesNotAllocate(t *testing.T) {
	r := NewRouter()
	candidates := []Candidate{{VM: "a"}, {VM: "b"}, {VM: "c", Distance: SameRegion}}
	allocs := testing.AllocsPerRun(100, func() {
		_, _ = r.Pick(time.Millisecond, candidates, 7)
	})
	require.Zero(t, allocs)
}
