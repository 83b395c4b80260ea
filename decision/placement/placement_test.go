package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func told(busy, limit int) *State {
	s := &State{}
	s.RecordLoad(busy, limit)
	return s
}

func TestPick(t *testing.T) {
	aside := told(0, 10)
	aside.RecordUnreachable(0)
	failing := told(0, 10)
	for range 20 {
		failing.StartCall()
		failing.EndCall(0, OutcomeFailed)
	}
	tests := []struct {
		desc       string
		candidates []Candidate
		want       int
	}{
		{"none", nil, -1},
		{"only barred ones", []Candidate{{Excluded: true}}, -1},
		{"the emptier one", []Candidate{{SameZone: true, State: told(5, 10)}, {SameZone: true, State: told(2, 10)}}, 1},
		{"by share of the slots, not by number", []Candidate{{SameZone: true, State: told(5, 50)}, {SameZone: true, State: told(2, 10)}}, 0},
		{"the own zone while it has room", []Candidate{{State: told(0, 10)}, {SameZone: true, State: told(2, 10)}}, 1},
		{"another zone once the own one is much fuller", []Candidate{{State: told(0, 10)}, {SameZone: true, State: told(7, 10)}}, 0},
		{"another zone once the own one is full", []Candidate{{State: told(8, 10)}, {SameZone: true, State: told(12, 10)}}, 0},
		{"not one that was out of reach", []Candidate{{SameZone: true, State: aside}, {State: told(9, 10)}}, 1},
		{"one that was out of reach when there is no other", []Candidate{{State: aside}}, 0},
		{"not one that fails", []Candidate{{SameZone: true, State: failing}, {State: told(8, 10)}}, 1},
		{
			"unequal machines are no fault",
			[]Candidate{{SameZone: true, EstimatedDuration: 40 * time.Millisecond, State: told(2, 10)}, {SameZone: true, EstimatedDuration: 20 * time.Millisecond, State: told(4, 10)}},
			0,
		},
		{
			"an unequal machine that is nearly full is no fault either",
			[]Candidate{{SameZone: true, EstimatedDuration: 57 * time.Millisecond, State: told(9, 14)}, {EstimatedDuration: 19 * time.Millisecond, State: told(5, 14)}},
			0,
		},
		{
			"a short wait in the own zone",
			[]Candidate{{SameZone: true, State: told(14, 14)}, {State: told(7, 14)}},
			0,
		},
		{
			"another zone rather than a long wait",
			[]Candidate{{SameZone: true, State: told(20, 14)}, {State: told(13, 14)}},
			1,
		},
		{
			"another zone when the own one usually needs nearly all of the time",
			[]Candidate{{SameZone: true, EstimatedDuration: 900 * time.Millisecond, State: told(2, 10)}, {EstimatedDuration: 400 * time.Millisecond, State: told(3, 10)}},
			1,
		},
		{
			"the own zone when all need nearly all of the time",
			[]Candidate{{SameZone: true, EstimatedDuration: 900 * time.Millisecond, State: told(2, 10)}, {EstimatedDuration: 850 * time.Millisecond, State: told(3, 10)}},
			0,
		},
		{
			"the own zone while its time is enough",
			[]Candidate{{SameZone: true, EstimatedDuration: 500 * time.Millisecond, State: told(2, 10)}, {EstimatedDuration: 200 * time.Millisecond, State: told(2, 10)}},
			0,
		},
		{
			"much slower than the fastest",
			[]Candidate{{SameZone: true, EstimatedDuration: 200 * time.Millisecond, State: told(1, 10)}, {EstimatedDuration: 20 * time.Millisecond, State: told(6, 10)}},
			1,
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			for random := range uint64(8) {
				require.Equal(t, test.want, Pick(0, time.Second, test.candidates, random))
			}
		})
	}
}

func TestOwnCallsCountBeforeTheNextReply(t *testing.T) {
	first, second := told(0, 10), told(1, 10)
	for range 3 {
		first.StartCall()
	}
	candidates := []Candidate{{SameZone: true, State: first}, {SameZone: true, State: second}}
	require.Equal(t, 1, Pick(0, time.Second, candidates, 0))
}

func TestPauseGrowsAndEndsWithAReply(t *testing.T) {
	s := &State{}
	s.RecordUnreachable(0)
	require.True(t, s.Ejected(asideBase-1))
	require.False(t, s.Ejected(asideBase))
	for range 10 {
		s.RecordUnreachable(0)
	}
	require.True(t, s.Ejected(asideMax-1))
	require.False(t, s.Ejected(asideMax))
	s.RecordLoad(0, 10)
	require.False(t, s.Ejected(0))
}

// TestUnequalSpeedsShareTheWork plays calls at endpoints of speeds 0.7, 0.7 and
// 1.6 that need 88 % of the slots if each gets work in proportion. In equal
// shares the slow two would be asked for more than they have.
func TestUnequalSpeedsShareTheWork(t *testing.T) {
	const slots, step = 14, time.Millisecond
	speeds := []float64{0.7, 0.7, 1.6}
	work := 30 * time.Millisecond
	rate := 0.88 * slots * 3.0 / work.Seconds() // calls in a second
	random := rand.New(rand.NewPCG(1, 1))
	states := []*State{{}, {}, {}}
	ends := make([][]time.Duration, 3)
	most, worst := 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += step {
		for i := range ends {
			kept := ends[i][:0]
			for _, end := range ends[i] {
				if end <= now {
					states[i].EndCall(now, OutcomeSuccess)
					states[i].RecordLoad(len(ends[i]), slots)
					continue
				}
				kept = append(kept, end)
			}
			ends[i] = kept
		}
		for arrivals := rate * step.Seconds(); arrivals > random.Float64(); arrivals-- {
			candidates := make([]Candidate, 3)
			for i := range candidates {
				candidates[i] = Candidate{SameZone: true, State: states[i]}
			}
			at := Pick(now, time.Second, candidates, random.Uint64())
			states[at].StartCall()
			wait := time.Duration(max(len(ends[at])-slots, 0)) * work / slots
			took := time.Duration(float64(work)*(0.5+random.Float64())/speeds[at]) + wait
			ends[at] = append(ends[at], now+took)
			worst = max(worst, len(ends[at]))
			most++
		}
	}
	require.Less(t, worst, 2*slots, "calls at the fullest endpoint, of %d in all", most)
}

// TestEndpointThatFailedIsUsedAgain plays two endpoints, one of which fails all
// calls for a while. It is avoided then, with few calls that find out, and has its
// share again within a minute.
func TestEndpointThatFailedIsUsedAgain(t *testing.T) {
	const (
		gap      = 10 * time.Millisecond
		brokenAt = 5 * time.Second
		soundAt  = 35 * time.Second
		length   = 2 * time.Minute
		usedFrom = soundAt + time.Minute
		// lostMax is the share of the calls that may fail while it is broken.
		lostMax = 0.02
	)
	sound, broken := told(5, 10), told(5, 10)
	lost, calls, used, after := 0, 0, 0, 0
	random := rand.New(rand.NewPCG(5, 1))
	for now := time.Duration(0); now < length; now += gap {
		sound.RecordLoad(4+random.IntN(3), 10)
		broken.RecordLoad(4+random.IntN(3), 10)
		states := []*State{sound, broken}
		at := Pick(now, time.Second, []Candidate{{SameZone: true, State: sound}, {SameZone: true, State: broken}}, random.Uint64())
		states[at].StartCall()
		fails := at == 1 && now >= brokenAt && now < soundAt
		end := OutcomeSuccess
		if fails {
			end = OutcomeFailed
		}
		states[at].EndCall(now, end)
		switch {
		case now >= brokenAt && now < soundAt:
			calls++
			if fails {
				lost++
			}
		case now >= usedFrom:
			after++
			used += at
		}
	}
	require.LessOrEqual(t, float64(lost), lostMax*float64(calls), "%d of %d", lost, calls)
	require.InDelta(t, 0.5, float64(used)/float64(after), 0.1, "%d of %d", used, after)
}

// TestSlowZonesMissLess plays requests of a zone whose deepest service is slow:
// they take four fifths of their time on average there and two fifths in the next
// zone, and vary as the chains of the platform do.
func TestSlowZonesMissLess(t *testing.T) {
	const (
		calls   = 5000
		timeout = 800 * time.Millisecond
		spread  = 0.4
		inTime  = 0.95 // of the requests; the next zone answers 0.99 in time
	)
	random := rand.New(rand.NewPCG(3, 1))
	usual := []time.Duration{timeout * 4 / 5, timeout * 2 / 5}
	whole := 0
	for range calls {
		candidates := []Candidate{
			{SameZone: true, EstimatedDuration: usual[0], State: told(10, 80)},
			{EstimatedDuration: usual[1], State: told(20, 80)},
		}
		at := Pick(0, timeout, candidates, random.Uint64())
		took := float64(usual[at]) * math.Exp(spread*random.NormFloat64()-spread*spread/2)
		if time.Duration(took) <= timeout {
			whole++
		}
	}
	require.GreaterOrEqual(t, float64(whole), inTime*calls, "%d of %d in time", whole, calls)
}

// TestSlowMachinesMissLess plays requests of a zone with one slow machine, at a load that
// the fast one of the next zone could take as well. Their times spread as those of views do:
// on the slow machine one in twelve takes longer than its route allows.
func TestSlowMachinesMissLess(t *testing.T) {
	const (
		calls   = 20000
		gap     = 100 * time.Millisecond
		timeout = 1200 * time.Millisecond
		mean    = 220 * time.Millisecond // of the work, on a machine of speed 1
		below   = 200 * time.Millisecond // of the calls that the work makes
		spread  = 0.8
		slow    = 0.55
		fast    = 1.2
		inTime  = 0.98 // of the requests; the fast machine answers 0.988 in time
	)
	random := rand.New(rand.NewPCG(3, 1))
	took := func(speed float64) time.Duration {
		return below + time.Duration(float64(mean)/speed*math.Exp(spread*random.NormFloat64()-spread*spread/2))
	}
	speeds := []float64{slow, fast}
	states := []*State{{}, {}}
	whole := 0
	for i := range calls {
		now := time.Duration(i) * gap
		states[0].RecordLoad(10, 58)
		states[1].RecordLoad(5, 58)
		at := Pick(now, timeout, []Candidate{
			{SameZone: true, EstimatedDuration: below + mean*100/55, State: states[0]},
			{EstimatedDuration: below + mean*100/120, State: states[1]},
		}, random.Uint64())
		end := OutcomeLost
		if took(speeds[at]) <= timeout {
			end = OutcomeSuccess
			whole++
		}
		states[at].StartCall()
		states[at].EndCall(now, end)
	}
	require.GreaterOrEqual(t, float64(whole), inTime*calls, "%d of %d in time", whole, calls)
}

// TestEndpointThatLosesAnswersGetsFewCalls plays an endpoint of the own zone that runs
// calls and loses the answers of a third of them, beside a sound one of another zone. What
// it lost may not be repeated, so callers of bookings get no answer.
func TestEndpointThatLosesAnswersGetsFewCalls(t *testing.T) {
	const (
		gap     = 100 * time.Millisecond // between two calls of one node
		length  = 10 * time.Second
		share   = 0.33
		lostMax = 0.06 // of the calls
	)
	lost, calls := 0, 0
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		losing, sound := told(2, 10), told(2, 10)
		states := []*State{losing, sound}
		for now := time.Duration(0); now < length; now += gap {
			at := Pick(now, time.Second, []Candidate{{SameZone: true, State: losing}, {State: sound}}, random.Uint64())
			end := OutcomeSuccess
			if at == 0 && random.Float64() < share {
				end = OutcomeLost
				lost++
			}
			calls++
			states[at].StartCall()
			states[at].EndCall(now, end)
		}
	}
	require.LessOrEqual(t, float64(lost), lostMax*float64(calls), "%d of %d", lost, calls)
}

// TestFluctuationsStayInTheZone plays calls at two zones with one endpoint each,
// whose slots are used for three quarters on average. Each zone has room for its
// own calls; what crosses does so for the chance of a moment, in both directions.
func TestFluctuationsStayInTheZone(t *testing.T) {
	const (
		slots    = 14
		work     = 30 * time.Millisecond
		rate     = 0.75 * slots / 0.030 // calls in a second, in each zone
		length   = 30 * time.Second
		step     = time.Millisecond
		crossMax = 0.05 // of the calls; both zones have room for all of theirs
		lateMax  = 0.01
	)
	random := rand.New(rand.NewPCG(7, 1))
	zones := []*zone{newZone(slots), newZone(slots)}
	calls, crossed, late := 0, 0, 0
	for now := time.Duration(0); now < length; now += step {
		for _, z := range zones {
			z.end(now)
		}
		for home := range zones {
			for left := rate * step.Seconds(); left > random.Float64(); left-- {
				candidates := []Candidate{{State: zones[0].seenFrom[home]}, {State: zones[1].seenFrom[home]}}
				candidates[home].SameZone = true
				at := Pick(now, time.Second, candidates, random.Uint64())
				took := time.Duration(float64(work) * (0.5 + random.Float64()))
				wait := zones[at].start(now, took, home)
				calls++
				if at != home {
					crossed++
				}
				if wait > work {
					late++
				}
			}
		}
	}
	require.LessOrEqual(t, float64(crossed), crossMax*float64(calls), "%d of %d calls left their zone", crossed, calls)
	require.LessOrEqual(t, float64(late), lateMax*float64(calls), "%d of %d calls waited for longer than they run", late, calls)
}

// zone is an endpoint of a play, as the nodes of two zones know it.
type zone struct {
	free     []time.Duration // when each slot is free
	open     []run
	seenFrom [2]*State
}

type run struct {
	end  time.Duration
	from int
}

func newZone(slots int) *zone {
	return &zone{free: make([]time.Duration, slots), seenFrom: [2]*State{{}, {}}}
}

// start begins a call in the slot that is free first and returns its wait.
func (z *zone) start(now, took time.Duration, from int) time.Duration {
	first := 0
	for i := range z.free {
		if z.free[i] < z.free[first] {
			first = i
		}
	}
	begins := max(z.free[first], now)
	z.free[first] = begins + took
	z.open = append(z.open, run{end: begins + took, from: from})
	z.seenFrom[from].StartCall()
	return begins - now
}

// end replies to the calls that are done.
func (z *zone) end(now time.Duration) {
	for i := 0; i < len(z.open); {
		one := z.open[i]
		if one.end > now {
			i++
			continue
		}
		z.open = append(z.open[:i], z.open[i+1:]...)
		z.seenFrom[one.from].EndCall(now, OutcomeSuccess)
		z.seenFrom[one.from].RecordLoad(len(z.open), len(z.free))
	}
}
