package readers

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestNextStartAction(t *testing.T) {
	tests := []struct {
		desc string
		at   StartConditions
		want StartAction
	}{
		{"nobody registered yet", StartConditions{}, StartList},
		{"nobody registered for long", StartConditions{Elapsed: emptyListMax + unlistedSpread}, StartRead},
		{"one of the readers", StartConditions{ZoneSize: 30, Rank: 1}, StartRead},
		{"not a reader", StartConditions{ZoneSize: 30, Rank: 2}, StartSubscribe},
		{"takes the place of silent readers", StartConditions{ZoneSize: 30, Rank: 3, ListedFor: StartStep}, StartRead},
		{"later in the order", StartConditions{ZoneSize: 30, Rank: 29, ListedFor: 3 * StartStep}, StartSubscribe},
		{"last in the order", StartConditions{ZoneSize: 30, Rank: 29, ListedFor: 4 * StartStep}, StartRead},
		{"not in the list, readers may serve", StartConditions{ZoneSize: 30, Rank: 30, ListedFor: 4 * StartStep}, StartSubscribe},
		{"not in the list, none serves", StartConditions{ZoneSize: 30, Rank: 30, ListedFor: 5 * StartStep}, StartRead},
		{"not in the list, none serves, later than others", StartConditions{ZoneSize: 30, Rank: 30, Random: 0.5, ListedFor: 5 * StartStep}, StartSubscribe},
		{"serves by the state of another node", StartConditions{Serving: true, Elapsed: servingMax}, StartRead},
		{"has just received the state of another node", StartConditions{Serving: true, ZoneSize: 30, Rank: 2}, StartSubscribe},
		{"alone in the zone", StartConditions{ZoneSize: 1, Rank: 0}, StartRead},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			require.Equal(t, test.want, NextStartAction(test.at))
		})
	}
}

// startingNode is a node of a simulated start of a whole fleet.
type startingNode struct {
	zone         *startingZone
	rank         int // in the order of Top among all nodes of the zone
	startedAt    time.Duration
	registeredAt time.Duration
	random       float64
	listed       StartConditions // by the last list
	nextListAt   time.Duration
	listedSince  time.Duration // -1 before a list names the zone
	readAt       time.Duration // when it began to read, or -1
	readyAt      time.Duration // or -1
}

type startingZone struct {
	nodes   []*startingNode // by rank
	serving []*startingNode // the readers that accept subscribers
}

// fleetStart describes the start of a fleet within 0.3 s.
type fleetStart struct {
	zones, zoneSize int
	// registration is the time by which all nodes are listed; they appear evenly before.
	registration time.Duration
	// down reports whether a listed node doesn't run.
	down func(zone, rank int) bool
}

const (
	startTick = 20 * time.Millisecond
	startEnd  = 12 * time.Second
)

// run returns the highest number of reads in any second that count towards the rate limit,
// and when the last node was ready.
func (f *fleetStart) run() (peak int, ready time.Duration) {
	const (
		pageSize  = 500
		startSpan = 300 * time.Millisecond
	)
	r := rand.New(rand.NewPCG(1, 1))
	var running []*startingNode
	for z := range f.zones {
		zone := &startingZone{}
		for rank := range f.zoneSize {
			n := &startingNode{zone: zone, rank: rank, random: r.Float64(), listedSince: -1, readAt: -1, readyAt: -1}
			n.startedAt = time.Duration(r.Int64N(int64(startSpan)))
			n.registeredAt = time.Duration(r.Float64() * float64(f.registration))
			n.nextListAt = n.startedAt
			zone.nodes = append(zone.nodes, n)
			if f.down == nil || !f.down(z, rank) {
				running = append(running, n)
			}
		}
	}
	readCost := func(now time.Duration) int { // configuration, pages, watch
		listed := f.zones * f.zoneSize
		if now < f.registration {
			listed = int(float64(listed) * now.Seconds() / f.registration.Seconds())
		}
		return 2 + max((listed+pageSize-1)/pageSize, 1)
	}
	reads := make([]int, startEnd/startTick)
	for now := time.Duration(0); now < startEnd; now += startTick {
		for _, n := range running {
			if n.step(now) {
				reads[now/startTick] += readCost(now)
			}
		}
	}
	for _, n := range running {
		if n.readyAt < 0 {
			return 0, startEnd
		}
		ready = max(ready, n.readyAt)
	}
	for i := range reads {
		sum := 0
		for _, count := range reads[i:min(i+int(time.Second/startTick), len(reads))] {
			sum += count
		}
		peak = max(peak, sum)
	}
	return peak, ready
}

// step lets a node do what the decision says. It reports whether it begins to read.
func (n *startingNode) step(now time.Duration) (reads bool) {
	const readTime = 100 * time.Millisecond // from the first read to a state that can be served
	switch {
	case n.readyAt >= 0 || now < n.startedAt:
		return false
	case n.readAt >= 0:
		if now >= n.readAt+readTime {
			n.readyAt = now
			n.zone.serving = append(n.zone.serving, n)
		}
		return false
	}
	if now >= n.nextListAt {
		n.list(now)
	}
	n.listed.Elapsed, n.listed.Random = now-n.startedAt, n.random
	if n.listedSince >= 0 {
		n.listed.ListedFor = now - n.listedSince
	}
	switch NextStartAction(n.listed) {
	case StartRead:
		n.readAt = now
		return true
	case StartSubscribe:
		count := StartReaderCount(n.listed.ListedFor, n.listed.ZoneSize)
		if slices.ContainsFunc(n.zone.serving, func(reader *startingNode) bool { return n.rankInList(reader) < count }) {
			n.readyAt = now
		}
	case StartList:
	}
	return false
}

// list updates what the node knows by the entries registered until now.
func (n *startingNode) list(now time.Duration) {
	n.nextListAt = now + StartStep
	n.listed.ZoneSize, n.listed.Rank = 0, 0
	for _, other := range n.zone.nodes {
		if other.registeredAt <= now {
			n.listed.ZoneSize++
			if other.rank < n.rank {
				n.listed.Rank++
			}
		}
	}
	if n.registeredAt > now {
		n.listed.Rank = n.listed.ZoneSize
	}
	if n.listed.ZoneSize > 0 && n.listedSince < 0 {
		n.listedSince = now
	}
}

// rankInList returns the rank of a reader among the nodes in the last list.
func (n *startingNode) rankInList(reader *startingNode) int {
	listedAt := n.nextListAt - StartStep
	rank := 0
	for _, other := range n.zone.nodes[:reader.rank] {
		if other.registeredAt <= listedAt {
			rank++
		}
	}
	return rank
}

// TestFleetStartReadsWithinHalfOfTheRateLimit starts 5,900 nodes of ten zones together.
func TestFleetStartReadsWithinHalfOfTheRateLimit(t *testing.T) {
	const (
		ratePerSecond = 16000
		zones         = 10
		zoneSize      = 590
	)
	tests := []struct {
		desc         string
		registration time.Duration
		down         func(zone, rank int) bool
	}{
		{"registered before", 0, nil},
		{"register within 2 s", 2 * time.Second, nil},
		{"register within 5 s", 5 * time.Second, nil},
		{"register after the nodes start to read", time.Hour, nil},
		{"the readers of one zone are gone", 0, func(zone, rank int) bool { return zone == 0 && rank < RelayCount(zoneSize) }},
		{"the readers of all zones are gone", 0, func(_, rank int) bool { return rank < RelayCount(zoneSize) }},
		{"half of the nodes are gone", 0, func(_, rank int) bool { return rank%2 == 0 }},
		{"nine in ten are gone", 0, func(_, rank int) bool { return rank%10 != 9 }},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			start := fleetStart{zones: zones, zoneSize: zoneSize, registration: test.registration, down: test.down}
			peak, ready := start.run()
			t.Logf("%d reads in the busiest second, all ready after %s", peak, ready)
			require.LessOrEqual(t, peak, ratePerSecond/2)
			require.Less(t, ready, 10*time.Second)
		})
	}
}

// TestStartReadersGrowToTheWholeZone checks that nobody is left without a way to its state.
func TestStartReadersGrowToTheWholeZone(t *testing.T) {
	for _, size := range []int{1, 2, 3, 25, 33, 590, 3000} {
		var counts []int
		for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += StartStep {
			counts = append(counts, StartReaderCount(elapsed, size))
		}
		require.True(t, slices.IsSorted(counts))
		require.LessOrEqual(t, counts[0], max(RelayCount(size), size))
		require.Equal(t, size, counts[len(counts)-1])
		require.Equal(t, StartRead, NextStartAction(StartConditions{ListedFor: 10 * time.Second, ZoneSize: size, Rank: size}))
	}
}
