package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/readers"
	"github.com/galenacart/galenacart/internal/platform"
)

func TestOnlyReadersReadThePlatform(t *testing.T) {
	inFleet(t, 3, 6, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		before := f.platform.readCount()
		const seconds = 60
		time.Sleep(seconds * time.Second)
		// Each reader has one watch per key open, which counts once per second and
		// once more when it is renewed.
		watches := 3 * readers.PerZone * int(keyCount)
		most := watches * (seconds + seconds*int(time.Second)/int(readers.WatchWait) + 2)
		require.LessOrEqual(t, f.platform.readCount()-before, most)
		require.Greater(t, f.platform.readCount()-before, watches*seconds/2)
		// Each change selects other readers, and still reaches all nodes in time.
		for i := range 40 {
			revision := f.platform.put(platform.KeyCatalogue, catalogueWith(i))
			require.True(t, waitUntil(2*time.Second, func() bool { return f.inForce(revision, "") }), "change %d", i)
			time.Sleep(5 * time.Second)
		}
		for vm, n := range f.nodes {
			require.Greater(t, n.Status().PlatformReads, int64(10), vm)
		}
	})
}

func TestFleetStartReadRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 12)
		f.startWindow = readers.StartWindow
		defer f.close()
		f.startAll()
		require.True(t, waitUntil(2*readers.StartWindow, func() bool { return f.inForce(2, "") }))
		// The fleet's part of the rate limit, relative to the largest fleet.
		share := float64(len(f.vms)) / readers.AssumedFleetSize
		watches := 3 * readers.PerZone * int(keyCount)
		require.Less(t, float64(f.platform.busiestSecond(0)), float64(2*watches)+4*readers.PlatformRateLimit*share)
	})
}

// largeFleet runs a test with twelve nodes of one zone in a list of 3012 VMs.
func largeFleet(t *testing.T, test func(*testing.T, *fleet)) {
	inFleet(t, 1, 12, func(t *testing.T, f *fleet) {
		f.platform.put(platform.KeyVMs, listOf(append(absentVMs(3000), f.vms...)))
		time.Sleep(30 * time.Second)
		require.Len(t, f.nodes["vm-0-0"].holder.Load().ByVM, 3012)
		test(t, f)
	})
}

func TestReadersOfALargeFleetStayWithinReadRate(t *testing.T) {
	largeFleet(t, func(t *testing.T, f *fleet) {
		before := f.platform.readCount()
		const seconds = 60
		time.Sleep(seconds * time.Second)
		// Each watch of at least one second counts once more when it ends.
		most := 2 * readers.PerZone * int(seconds*readers.Rate(3012)+1)
		require.LessOrEqual(t, f.platform.readCount()-before, most)
		require.Positive(t, f.platform.readCount()-before)
	})
}

func TestConcurrentChecksStayWithinReadRate(t *testing.T) {
	largeFleet(t, func(t *testing.T, f *fleet) {
		f.platform.setDown(true)
		before := f.platform.readCount()
		time.Sleep(2 * readers.StaleAfter)
		require.Greater(t, f.platform.readCount()-before, len(f.vms))
		// All twelve nodes read both keys; the rate limit spreads that over five
		// seconds.
		require.LessOrEqual(t, f.platform.busiestSecond(before), len(f.vms))
	})
}
