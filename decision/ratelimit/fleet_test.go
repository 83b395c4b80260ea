package ratelimit_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/placement"
	"github.com/galenacart/galenacart/decision/slotqueue"
)

const (
	step        = 5 * time.Millisecond
	serviceTime = 150 * time.Millisecond
	timeout     = 2 * time.Second
	slots       = 20
	endpoints   = 4
	nodes       = 12
	duration    = 24 * time.Second
	// window and the bound on it are the users': one and a half times the named rate, and
	// five calls, from contactTime after it was first named.
	window      = 4 * time.Second
	contactTime = 3 * time.Second
)

// limitedFleet is a service whose endpoints may name a rate, with the decisions of all nodes
// that send calls to it and of the nodes beside its endpoints.
type limitedFleet struct {
	random    *rand.Rand
	now       time.Duration
	endpoints [endpoints]fleetEndpoint
	nodes     [nodes][endpoints]placement.State
	calls     []fleetCall // by ID
	offered   [2]int      // by rank
	served    [2]int
}

type fleetEndpoint struct {
	queue   *slotqueue.Queue
	limit   float64 // 0 for none
	running []int   // IDs, in the order in which they end
	arrived []time.Duration
}

type fleetCall struct {
	node, endpoint int
	rank           uint8
	sentAt, endsAt time.Duration
	tried          []int
}

// load describes the scenario at a moment.
type load struct {
	perSecond float64
	limits    [endpoints]float64
	restart   int  // endpoint whose node starts anew at this moment, or -1
	zoneCut   bool // the first half of the nodes reaches the first half of the endpoints only
}

func newLimitedFleet() *limitedFleet {
	f := &limitedFleet{random: rand.New(rand.NewPCG(1, 1))}
	for i := range f.endpoints {
		f.endpoints[i].queue = slotqueue.New(slots)
	}
	return f
}

func (f *limitedFleet) play(at func(now time.Duration) load) {
	for ; f.now < duration; f.now += step {
		l := at(f.now)
		for i := range f.endpoints {
			f.endpoints[i].limit = l.limits[i]
			if l.restart == i {
				f.endpoints[i].queue = slotqueue.New(slots)
				f.endpoints[i].queue.AwaitFirstAnswer()
				f.endpoints[i].running = nil
			}
			f.advance(i)
		}
		for f.random.Float64() < l.perSecond*step.Seconds() {
			l.perSecond -= 1 / step.Seconds() // more than one call in a step
			f.offer(l.zoneCut)
		}
	}
}

// advance ends calls of an endpoint, whose answers name its limit, and starts waiting ones.
func (f *limitedFleet) advance(i int) {
	e := &f.endpoints[i]
	var decided []slotqueue.Dequeued
	for len(e.running) > 0 && f.calls[e.running[0]].endsAt <= f.now {
		c := &f.calls[e.running[0]]
		e.running = e.running[1:]
		e.queue.RecordAnswer(f.now, e.limit)
		decided = e.queue.Finish(f.now, serviceTime, decided)
		f.served[c.rank]++
		f.reply(c)
	}
	for _, d := range e.queue.Dispatch(f.now, decided) {
		if d.Decision == slotqueue.Run {
			f.run(int(d.ID))
		} else {
			f.reply(&f.calls[d.ID])
		}
	}
}

// reply reports the load of a call's endpoint to its node.
func (f *limitedFleet) reply(c *fleetCall) {
	q, s := f.endpoints[c.endpoint].queue, &f.nodes[c.node][c.endpoint]
	s.EndCall(f.now, placement.OutcomeSuccess)
	s.RecordLoad(f.now, q.Busy(), q.Capacity())
}

func (f *limitedFleet) run(id int) {
	c := &f.calls[id]
	c.endsAt = f.now + serviceTime
	e := &f.endpoints[c.endpoint]
	e.running = append(e.running, id)
	e.arrived = append(e.arrived, f.now)
}

// offer sends a new call from a random node to one endpoint after another.
func (f *limitedFleet) offer(zoneCut bool) {
	id := len(f.calls)
	f.calls = append(f.calls, fleetCall{node: f.random.IntN(nodes), rank: uint8(f.random.IntN(2)), sentAt: f.now})
	c := &f.calls[id]
	f.offered[c.rank]++
	for range endpoints {
		candidates := make([]placement.Candidate, endpoints)
		for i := range candidates {
			s := &f.nodes[c.node][i]
			unreachable := zoneCut && (c.node < nodes/2) != (i < endpoints/2)
			candidates[i] = placement.Candidate{
				SameZone: (c.node < nodes/2) == (i < endpoints/2), Slots: slots, State: s,
				Excluded: unreachable || slices.Contains(c.tried, i), Probe: s.ProbeDue(f.now, slots, nodes),
			}
		}
		c.endpoint = placement.Pick(f.now, timeout, candidates, f.random.Uint64())
		if c.endpoint < 0 {
			return
		}
		s := &f.nodes[c.node][c.endpoint]
		s.StartCall()
		if candidates[c.endpoint].Probe {
			s.StartProbe(f.now)
		}
		switch f.endpoints[c.endpoint].queue.Offer(f.now, slotqueue.Call{
			ID: uint64(id), Rank: c.rank, Deadline: f.now + timeout, EstimatedDuration: serviceTime,
		}) {
		case slotqueue.Run:
			f.run(id)
			return
		case slotqueue.Wait:
			return
		case slotqueue.Refuse:
			c.tried = append(c.tried, c.endpoint)
			f.reply(c)
		}
	}
}

// requireWithinLimits checks the windows after contactTime in which an endpoint names one rate.
func (f *limitedFleet) requireWithinLimits(t *testing.T, at func(now time.Duration) load) {
	t.Helper()
	for i := range f.endpoints {
		for from := contactTime; from+window <= duration; from += step {
			limit := at(from - contactTime).limits[i]
			for now := from - contactTime; now <= from+window; now += step {
				if at(now).limits[i] != limit {
					limit = 0 // the rate changes
					break
				}
			}
			if limit == 0 {
				continue
			}
			got := 0
			for _, arrivedAt := range f.endpoints[i].arrived {
				if arrivedAt >= from && arrivedAt < from+window {
					got++
				}
			}
			require.LessOrEqual(t, float64(got), 1.5*limit*window.Seconds()+5, "endpoint %d, window from %s", i, from)
		}
	}
}

// TestFleetKeepsNamedLimits plays loads at which endpoints name limits. served is the share of
// all calls that is served at the least, which is near the ratio of capacity and load.
func TestFleetKeepsNamedLimits(t *testing.T) {
	steady := func(perSecond float64, limits [endpoints]float64) func(time.Duration) load {
		return func(time.Duration) load { return load{perSecond: perSecond, limits: limits, restart: -1} }
	}
	tests := []struct {
		desc   string
		at     func(now time.Duration) load
		served float64
	}{
		{"one endpoint in need, the others have room", steady(150, [endpoints]float64{10}), 0.99},
		{"all in need, less than is asked for", steady(100, [endpoints]float64{10, 15, 20, 15}), 0.55},
		{"one takes almost nothing", steady(150, [endpoints]float64{0.01}), 0.99},
		{"a limit that halves, and ends", func(now time.Duration) load {
			l := load{perSecond: 200, limits: [endpoints]float64{40, 40}, restart: -1}
			switch {
			case now > 16*time.Second:
				l.limits = [endpoints]float64{}
			case now > 8*time.Second:
				l.limits = [endpoints]float64{20, 20}
			}
			return l
		}, 0.97},
		{"a burst while three are in need", func(now time.Duration) load {
			l := load{perSecond: 120, limits: [endpoints]float64{10, 10, 10}, restart: -1}
			if now > 8*time.Second && now < 14*time.Second {
				l.perSecond = 400
			}
			return l
		}, 0.62},
		{"nodes of endpoints in need start anew", func(now time.Duration) load {
			l := load{perSecond: 150, limits: [endpoints]float64{20, 20}, restart: -1}
			if now%(5*time.Second) == 0 {
				l.restart = int(now / (5 * time.Second) % 2)
			}
			return l
		}, 0.95},
		{"a zone cut with one of its two endpoints in need", func(now time.Duration) load {
			return load{perSecond: 150, limits: [endpoints]float64{10}, restart: -1, zoneCut: now > 8*time.Second && now < 16*time.Second}
		}, 0.97},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			f := newLimitedFleet()
			f.play(test.at)
			f.requireWithinLimits(t, test.at)
			share := func(rank int) float64 { return float64(f.served[rank]) / float64(f.offered[rank]) }
			all := float64(f.served[0]+f.served[1]) / float64(f.offered[0]+f.offered[1])
			require.GreaterOrEqual(t, all, test.served, "served by rank: %v of %v", f.served, f.offered)
			require.GreaterOrEqual(t, share(0), share(1)-0.02, "the more important calls: %v of %v", f.served, f.offered)
		})
	}
}
