package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func stateWithLoad(busy, limit int) *State {
	s := &State{}
	s.RecordLoad(0, busy, limit)
	return s
}

func TestPick(t *testing.T) {
	ejected := stateWithLoad(0, 10)
	ejected.RecordUnreachable(0)
	failing := stateWithLoad(0, 10)
	for range 20 {
		failing.StartCall()
		failing.EndCall(0, OutcomeFailed)
	}
	tests := []struct {
		desc       string
		candidates []Candidate
		want       int
	}{
		{"no candidates", nil, -1},
		{"only excluded candidates", []Candidate{{Excluded: true}}, -1},
		{"the less loaded endpoint", []Candidate{{SameZone: true, State: stateWithLoad(5, 10)}, {SameZone: true, State: stateWithLoad(2, 10)}}, 1},
		{"load is relative to the slots", []Candidate{{SameZone: true, State: stateWithLoad(5, 50)}, {SameZone: true, State: stateWithLoad(2, 10)}}, 0},
		{"same zone while it has capacity", []Candidate{{State: stateWithLoad(0, 10)}, {SameZone: true, State: stateWithLoad(2, 10)}}, 1},
		{"another zone when the same zone is much more loaded", []Candidate{{State: stateWithLoad(0, 10)}, {SameZone: true, State: stateWithLoad(7, 10)}}, 0},
		{"another zone when the same zone is full", []Candidate{{State: stateWithLoad(8, 10)}, {SameZone: true, State: stateWithLoad(12, 10)}}, 0},
		{"not an ejected endpoint", []Candidate{{SameZone: true, State: ejected}, {State: stateWithLoad(9, 10)}}, 1},
		{"an ejected endpoint when there is no other", []Candidate{{State: ejected}}, 0},
		{"not a failing endpoint", []Candidate{{SameZone: true, State: failing}, {State: stateWithLoad(8, 10)}}, 1},
		{
			"unequal machine speeds are tolerated",
			[]Candidate{{SameZone: true, EstimatedDuration: 40 * time.Millisecond, State: stateWithLoad(2, 10)}, {SameZone: true, EstimatedDuration: 20 * time.Millisecond, State: stateWithLoad(4, 10)}},
			0,
		},
		{
			"a slower, nearly full machine is tolerated",
			[]Candidate{{SameZone: true, EstimatedDuration: 57 * time.Millisecond, State: stateWithLoad(9, 14)}, {EstimatedDuration: 19 * time.Millisecond, State: stateWithLoad(5, 14)}},
			0,
		},
		{
			"same zone with a short wait",
			[]Candidate{{SameZone: true, State: stateWithLoad(14, 14)}, {State: stateWithLoad(7, 14)}},
			0,
		},
		{
			"another zone instead of a long wait",
			[]Candidate{{SameZone: true, State: stateWithLoad(20, 14)}, {State: stateWithLoad(13, 14)}},
			1,
		},
		{
			"another zone when the same zone needs nearly all of the remaining time",
			[]Candidate{{SameZone: true, EstimatedDuration: 900 * time.Millisecond, State: stateWithLoad(2, 10)}, {EstimatedDuration: 400 * time.Millisecond, State: stateWithLoad(3, 10)}},
			1,
		},
		{
			"same zone when all zones need nearly all of the remaining time",
			[]Candidate{{SameZone: true, EstimatedDuration: 900 * time.Millisecond, State: stateWithLoad(2, 10)}, {EstimatedDuration: 850 * time.Millisecond, State: stateWithLoad(3, 10)}},
			0,
		},
		{
			"same zone while it meets the deadline",
			[]Candidate{{SameZone: true, EstimatedDuration: 500 * time.Millisecond, State: stateWithLoad(2, 10)}, {EstimatedDuration: 200 * time.Millisecond, State: stateWithLoad(2, 10)}},
			0,
		},
		{
			"not an endpoint much slower than the fastest",
			[]Candidate{{SameZone: true, EstimatedDuration: 200 * time.Millisecond, State: stateWithLoad(1, 10)}, {EstimatedDuration: 20 * time.Millisecond, State: stateWithLoad(6, 10)}},
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

func TestInFlightCallsCountBeforeNextReply(t *testing.T) {
	first, second := stateWithLoad(0, 10), stateWithLoad(1, 10)
	for range 3 {
		first.StartCall()
	}
	candidates := []Candidate{{SameZone: true, State: first}, {SameZone: true, State: second}}
	require.Equal(t, 1, Pick(0, time.Second, candidates, 0))
}

func TestEjectionBackoffResetsOnReply(t *testing.T) {
	s := &State{}
	s.RecordUnreachable(0)
	require.True(t, s.Ejected(ejectBase-1))
	require.False(t, s.Ejected(ejectBase))
	for range 10 {
		s.RecordUnreachable(0)
	}
	require.True(t, s.Ejected(ejectMax-1))
	require.False(t, s.Ejected(ejectMax))
	s.RecordLoad(0, 0, 10)
	require.False(t, s.Ejected(0))
}

// TestLoadFollowsEndpointSpeed simulates endpoints of speeds 0.7, 0.7 and 1.6 under a
// load of 88 % of the slots if calls are distributed in proportion to speed. An equal
// distribution would overload the two slow ones.
func TestLoadFollowsEndpointSpeed(t *testing.T) {
	const slots, step = 14, time.Millisecond
	speeds := []float64{0.7, 0.7, 1.6}
	work := 30 * time.Millisecond
	rate := 0.88 * slots * 3.0 / work.Seconds() // calls per second
	random := rand.New(rand.NewPCG(1, 1))
	states := []*State{{}, {}, {}}
	ends := make([][]time.Duration, 3)
	calls, maxInFlight := 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += step {
		for i := range ends {
			kept := ends[i][:0]
			for _, end := range ends[i] {
				if end <= now {
					states[i].EndCall(now, OutcomeSuccess)
					states[i].RecordLoad(0, len(ends[i]), slots)
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
			maxInFlight = max(maxInFlight, len(ends[at]))
			calls++
		}
	}
	require.Less(t, maxInFlight, 2*slots, "calls in flight at the most loaded endpoint, %d calls in total", calls)
}

// TestFailedEndpointRecovers simulates two endpoints, one of which fails all calls for
// 30 s. Few calls may fail in that time, and a minute after the end of the failure the
// endpoint must get its share of the calls again.
func TestFailedEndpointRecovers(t *testing.T) {
	const (
		interval       = 10 * time.Millisecond // between calls
		failureStart   = 5 * time.Second
		failureEnd     = 35 * time.Second
		simulationTime = 2 * time.Minute
		recoveredFrom  = failureEnd + time.Minute
		// failedShareMax is the share of the calls that may fail during the failure.
		failedShareMax = 0.02
	)
	healthy, failing := stateWithLoad(5, 10), stateWithLoad(5, 10)
	failed, calls, recovered, after := 0, 0, 0, 0
	random := rand.New(rand.NewPCG(5, 1))
	for now := time.Duration(0); now < simulationTime; now += interval {
		healthy.RecordLoad(0, 4+random.IntN(3), 10)
		failing.RecordLoad(0, 4+random.IntN(3), 10)
		states := []*State{healthy, failing}
		at := Pick(now, time.Second, []Candidate{{SameZone: true, State: healthy}, {SameZone: true, State: failing}}, random.Uint64())
		states[at].StartCall()
		fails := at == 1 && now >= failureStart && now < failureEnd
		outcome := OutcomeSuccess
		if fails {
			outcome = OutcomeFailed
		}
		states[at].EndCall(now, outcome)
		switch {
		case now >= failureStart && now < failureEnd:
			calls++
			if fails {
				failed++
			}
		case now >= recoveredFrom:
			after++
			recovered += at
		}
	}
	require.LessOrEqual(t, float64(failed), failedShareMax*float64(calls), "%d of %d calls failed", failed, calls)
	require.InDelta(t, 0.5, float64(recovered)/float64(after), 0.1, "%d of %d calls at the recovered endpoint", recovered, after)
}

// TestSlowZoneMeetsDeadlines simulates requests of a zone whose deepest service is slow.
// On average they take four fifths of their timeout there and two fifths in the other
// zone.
func TestSlowZoneMeetsDeadlines(t *testing.T) {
	const (
		calls   = 5000
		timeout = 800 * time.Millisecond
		sigma   = 0.4
		inTime  = 0.95 // of the requests; the other zone answers 0.99 in time
	)
	random := rand.New(rand.NewPCG(3, 1))
	estimated := []time.Duration{timeout * 4 / 5, timeout * 2 / 5}
	onTime := 0
	for range calls {
		candidates := []Candidate{
			{SameZone: true, EstimatedDuration: estimated[0], State: stateWithLoad(10, 80)},
			{EstimatedDuration: estimated[1], State: stateWithLoad(20, 80)},
		}
		at := Pick(0, timeout, candidates, random.Uint64())
		took := float64(estimated[at]) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
		if time.Duration(took) <= timeout {
			onTime++
		}
	}
	require.GreaterOrEqual(t, float64(onTime), inTime*calls, "%d of %d in time", onTime, calls)
}

// TestSlowMachineMeetsDeadlines simulates requests of a zone with one slow machine, at a
// load that the fast machine of the other zone can serve too. On the slow machine one
// request in twelve exceeds the timeout of its route.
func TestSlowMachineMeetsDeadlines(t *testing.T) {
	const (
		calls      = 20000
		interval   = 100 * time.Millisecond // between calls
		timeout    = 1200 * time.Millisecond
		mean       = 220 * time.Millisecond // of the work, on a machine of speed 1
		downstream = 200 * time.Millisecond // duration of the downstream calls
		sigma      = 0.8
		slow       = 0.55
		fast       = 1.2
		inTime     = 0.98 // of the requests; the fast machine answers 0.988 in time
	)
	random := rand.New(rand.NewPCG(3, 1))
	took := func(speed float64) time.Duration {
		return downstream + time.Duration(float64(mean)/speed*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
	}
	speeds := []float64{slow, fast}
	states := []*State{{}, {}}
	onTime := 0
	for i := range calls {
		now := time.Duration(i) * interval
		states[0].RecordLoad(0, 10, 58)
		states[1].RecordLoad(0, 5, 58)
		at := Pick(now, timeout, []Candidate{
			{SameZone: true, EstimatedDuration: downstream + mean*100/55, State: states[0]},
			{EstimatedDuration: downstream + mean*100/120, State: states[1]},
		}, random.Uint64())
		outcome := OutcomeLost
		if took(speeds[at]) <= timeout {
			outcome = OutcomeSuccess
			onTime++
		}
		states[at].StartCall()
		states[at].EndCall(now, outcome)
	}
	require.GreaterOrEqual(t, float64(onTime), inTime*calls, "%d of %d in time", onTime, calls)
}

// TestEndpointLosingAnswersGetsFewCalls simulates an endpoint in the caller's zone that
// loses a third of its answers, and a healthy one in another zone. Lost non-idempotent
// calls can't be repeated, so their callers would get no answer.
func TestEndpointLosingAnswersGetsFewCalls(t *testing.T) {
	const (
		interval       = 100 * time.Millisecond // between two calls of one node
		simulationTime = 10 * time.Second
		lossRate       = 0.33
		lostShareMax   = 0.06 // of the calls
	)
	lost, calls := 0, 0
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		losing, healthy := stateWithLoad(2, 10), stateWithLoad(2, 10)
		states := []*State{losing, healthy}
		for now := time.Duration(0); now < simulationTime; now += interval {
			at := Pick(now, time.Second, []Candidate{{SameZone: true, State: losing}, {State: healthy}}, random.Uint64())
			outcome := OutcomeSuccess
			if at == 0 && random.Float64() < lossRate {
				outcome = OutcomeLost
				lost++
			}
			calls++
			states[at].StartCall()
			states[at].EndCall(now, outcome)
		}
	}
	require.LessOrEqual(t, float64(lost), lostShareMax*float64(calls), "%d of %d calls lost", lost, calls)
}

// TestLoadFluctuationsStayInZone simulates two zones with one endpoint each at a mean
// utilisation of three quarters. Each zone can serve its own calls, so short load peaks
// must not send more than a few of them to the other zone.
func TestLoadFluctuationsStayInZone(t *testing.T) {
	const (
		slots          = 14
		serviceTime    = 30 * time.Millisecond
		rate           = 0.75 * slots / 0.030 // calls per second in each zone
		simulationTime = 30 * time.Second
		step           = time.Millisecond
		crossMax       = 0.05 // share of calls sent to the other zone
		lateMax        = 0.01 // share of calls that wait longer than their mean duration
	)
	random := rand.New(rand.NewPCG(7, 1))
	zones := []*zone{newZone(slots), newZone(slots)}
	calls, crossed, late := 0, 0, 0
	for now := time.Duration(0); now < simulationTime; now += step {
		for _, z := range zones {
			z.finish(now)
		}
		for home := range zones {
			for arrivals := rate * step.Seconds(); arrivals > random.Float64(); arrivals-- {
				candidates := []Candidate{{State: zones[0].stateByZone[home]}, {State: zones[1].stateByZone[home]}}
				candidates[home].SameZone = true
				at := Pick(now, time.Second, candidates, random.Uint64())
				took := time.Duration(float64(serviceTime) * (0.5 + random.Float64()))
				wait := zones[at].startCall(now, took, home)
				calls++
				if at != home {
					crossed++
				}
				if wait > serviceTime {
					late++
				}
			}
		}
	}
	require.LessOrEqual(t, float64(crossed), crossMax*float64(calls), "%d of %d calls were sent to the other zone", crossed, calls)
	require.LessOrEqual(t, float64(late), lateMax*float64(calls), "%d of %d calls waited longer than their mean duration", late, calls)
}

// zone simulates the endpoint of one zone and the state that the nodes of both zones
// track for it.
type zone struct {
	slotFreeAt  []time.Duration // by slot
	inFlight    []run
	stateByZone [2]*State
}

type run struct {
	finish time.Duration
	from   int
}

func newZone(slots int) *zone {
	return &zone{slotFreeAt: make([]time.Duration, slots), stateByZone: [2]*State{{}, {}}}
}

// startCall assigns a call to the slot that becomes free first and returns its wait.
func (z *zone) startCall(now, took time.Duration, from int) time.Duration {
	first := 0
	for i := range z.slotFreeAt {
		if z.slotFreeAt[i] < z.slotFreeAt[first] {
			first = i
		}
	}
	start := max(z.slotFreeAt[first], now)
	z.slotFreeAt[first] = start + took
	z.inFlight = append(z.inFlight, run{finish: start + took, from: from})
	z.stateByZone[from].StartCall()
	return start - now
}

// finish replies to the calls that have ended by now.
func (z *zone) finish(now time.Duration) {
	for i := 0; i < len(z.inFlight); {
		one := z.inFlight[i]
		if one.finish > now {
			i++
			continue
		}
		z.inFlight = append(z.inFlight[:i], z.inFlight[i+1:]...)
		z.stateByZone[one.from].EndCall(now, OutcomeSuccess)
		z.stateByZone[one.from].RecordLoad(0, len(z.inFlight), len(z.slotFreeAt))
	}
}

func TestProbeOfEndpointThatTakesFewCalls(t *testing.T) {
	s := &State{}
	require.False(t, s.ProbeDue(time.Hour, 80, 10), "it has reported nothing")
	s.RecordLoad(0, 3, 70)
	require.False(t, s.ProbeDue(time.Hour, 80, 10), "it takes many calls")
	s.RecordLoad(0, 3, 3)
	require.False(t, s.ProbeDue(probeInterval, 80, 10))
	require.True(t, s.ProbeDue(probeInterval+1, 80, 10))
	require.False(t, s.ProbeDue(probeInterval+1, 80, 200), "all nodes of a large fleet probe it in turn")
	s.StartProbe(probeInterval + 1)
	require.False(t, s.ProbeDue(2*probeInterval, 80, 10))

	idle := &State{}
	idle.RecordLoad(0, 5, 58)
	require.Equal(t, 1, Pick(0, 0, []Candidate{{State: idle}, {State: s, Slots: 80, Probe: true}}, 0))
}
