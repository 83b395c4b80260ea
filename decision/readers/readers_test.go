package readers

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestTopReturnsTheHighestScores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hashes := rapid.SliceOfNDistinct(rapid.Uint64(), 0, 40, rapid.ID).Draw(t, "hashes")
		salt := rapid.Uint64().Draw(t, "salt")
		n := rapid.IntRange(0, 10).Draw(t, "n")
		top := Top(hashes, salt, n)
		require.Len(t, top, min(n, len(hashes)))
		chosen := map[int]bool{}
		for _, i := range top {
			chosen[i] = true
		}
		require.Len(t, chosen, len(top))
		for i := range hashes {
			if chosen[i] {
				continue
			}
			for _, j := range top {
				require.GreaterOrEqual(t, Score(hashes[j], salt), Score(hashes[i], salt))
			}
		}
	})
}

func TestZoneHasPerZoneReaders(t *testing.T) {
	var zone []uint64
	for i := range uint64(600) {
		zone = append(zone, Score(i, 77))
	}
	readers := 0
	for _, self := range zone {
		if IsReader(zone, self, 1) {
			readers++
		}
	}
	require.Equal(t, PerZone, readers)
}

func TestRemovingAVMKeepsTheOtherReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := rapid.SliceOfNDistinct(rapid.Uint64(), 5, 40, rapid.ID).Draw(t, "zone")
		removed := rapid.IntRange(0, len(zone)-1).Draw(t, "removed")
		rest := append(append([]uint64{}, zone[:removed]...), zone[removed+1:]...)
		lost := 0
		for _, self := range rest {
			if IsReader(zone, self, 1) && !IsReader(rest, self, 1) {
				lost++
			}
		}
		require.Zero(t, lost)
	})
}

// Every node of the fleet considers itself a reader and reads as often as it may.
func TestFleetStaysWithinRateLimit(t *testing.T) {
	for _, vms := range []int{250, 1000, 5900} {
		buckets := make([]TokenBucket, vms)
		reads := 0
		const seconds = 20
		for at := time.Duration(0); at < seconds*time.Second; at += 100 * time.Millisecond {
			for i := range buckets {
				reads += buckets[i].Take(at, vms, 10)
			}
		}
		require.LessOrEqual(t, reads, FleetRateLimit*seconds, "%d VMs", vms)
		require.Greater(t, reads, FleetRateLimit*seconds/2, "%d VMs", vms)
	}
}

func TestSmallFleetAffordsAWatchOnBothKeys(t *testing.T) {
	bucket := NewTokenBucket(0)
	granted := 0
	for at := time.Duration(0); at < time.Minute; at += time.Second {
		granted += bucket.Take(at, 200, 10)
	}
	require.GreaterOrEqual(t, granted, 2*60)
}

// All nodes have accumulated reads and start to read at the same time.
func TestResetNodesStayWithinRateLimitInEachSecond(t *testing.T) {
	const vms = 5900
	random := rand.New(rand.NewPCG(1, 1))
	buckets := make([]TokenBucket, vms)
	for i := range buckets {
		buckets[i] = NewTokenBucket(0)
		buckets[i].Reset(time.Hour, random.Float64())
	}
	for second := range 10 {
		reads := 0
		for step := range 10 {
			at := time.Hour + time.Duration(second)*time.Second + time.Duration(step)*100*time.Millisecond
			for i := range buckets {
				reads += buckets[i].Take(at, vms, 10)
			}
		}
		require.LessOrEqual(t, reads, FleetRateLimit*11/10)
	}
}

// All nodes of a fleet start simultaneously and read as often as they may, since no peer
// reports a read. They know the size of the fleet from their first read on.
func TestFleetStartStaysWithinRateLimit(t *testing.T) {
	const step, steps = 20 * time.Millisecond, 1000
	random := rand.New(rand.NewPCG(1, 1))
	for _, vms := range []int{200, 1000, 2000, 3000, 4000, 4800, 5000, 5200, 5500, 5900, AssumedFleetSize} {
		require.Less(t, StartPeakRate(vms), float64(PlatformRateLimit))
		var counts [steps]int
		for range vms {
			first := time.Duration(random.Float64() * float64(StartWindow))
			bucket, known := NewTokenBucket(first), 0
			for i := range counts {
				if at := time.Duration(i) * step; at >= first {
					granted := bucket.Take(at, known, 1)
					counts[i] += granted
					known = max(known, granted*vms)
				}
			}
		}
		inSecond := 0
		for i, count := range counts {
			inSecond += count
			if before := i - int(time.Second/step); before >= 0 {
				inSecond -= counts[before]
			}
			require.Less(t, inSecond, PlatformRateLimit, "%d VMs, step %d", vms, i)
			require.Less(t, float64(inSecond), 1.15*StartPeakRate(vms), "%d VMs, step %d", vms, i)
		}
	}
}

// Each revision has other readers, so that no node reads much more than another.
func TestRoundSaltSpreadsReadsOverAllNodes(t *testing.T) {
	const vms, rounds = 100, 2000
	var zone []uint64
	for i := range uint64(vms) {
		zone = append(zone, Score(i, 77))
	}
	var reads [vms]int
	for revision := range uint64(rounds) {
		for _, i := range Top(zone, RoundSalt(revision/2, revision), PerZone) {
			reads[i]++
		}
	}
	for _, n := range reads {
		require.InDelta(t, rounds*PerZone/vms, n, rounds*PerZone/vms/2)
	}
}

func TestChooseDuty(t *testing.T) {
	cases := []struct {
		desc string
		in   Conditions
		want Duty
	}{
		{"just started", Conditions{}, DutyCheck},
		{"just started, peers may report a read", Conditions{Uptime: 1, StartGrace: 2}, DutyNone},
		{"reader", Conditions{Listed: true, Reader: true, ReadKnown: true}, DutyWatch},
		{"leaving reader", Conditions{Listed: true, Reader: true, ReadKnown: true, Leaving: true}, DutyNone},
		{"others read", Conditions{Listed: true, ReadKnown: true, ReadAge: StaleAfter - 1}, DutyNone},
		{"others have not read for long", Conditions{Listed: true, ReadKnown: true, ReadAge: StaleAfter}, DutyCheck},
		{"not listed, others read", Conditions{ReadKnown: true}, DutyNone},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			require.Equal(t, c.want, ChooseDuty(c.in))
		})
	}
}

func TestBackoffIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failures := rapid.IntRange(1, 100).Draw(t, "failures")
		random := rapid.Float64Range(0, 0.999).Draw(t, "random")
		watch := Backoff(DutyWatch, failures, random)
		require.LessOrEqual(t, watch, backoffMaxWatch)
		require.GreaterOrEqual(t, watch, backoffStart/2)
		check := Backoff(DutyCheck, 20+failures, random)
		require.LessOrEqual(t, check, backoffMaxCheck)
		require.GreaterOrEqual(t, check, backoffMaxCheck/2)
	})
}

// The traffic of a relay must not grow with the fleet, and the reads of all relays stay
// far below the platform's limit of 2,000 a second.
func TestListenersPerRelayAreBounded(t *testing.T) {
	for nodes := 1; nodes <= 1200; nodes++ {
		relays := RelayCount(nodes)
		require.GreaterOrEqual(t, relays, 2)
		require.LessOrEqual(t, nodes, max(relays*nodesPerRelay, 2*nodesPerRelay))
	}
	require.Equal(t, 2, RelayCount(50))
	require.Equal(t, 3, RelayCount(51))
	const zones, readsPerSecond = 10, 1.25 // of one node that watches a store with continuous changes
	require.Less(t, float64(RelayCount(590)*zones)*readsPerSecond, 2000.0/5)
}
