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
		// Each reader has one watch for each key open, which counts each second
		// and once more where a new one begins.
		watches := 3 * readers.PerZone * int(keyCount)
		most := watches * (seconds + seconds*int(time.Second)/int(readers.WatchWait) + 2)
		require.LessOrEqual(t, f.platform.readCount()-before, most)
		require.Greater(t, f.platform.readCount()-before, watches*seconds/2)
		// With each change others read, and it is everywhere as fast.
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

func TestReadsOfAWholeFleetThatStartsAtOnceAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 12)
		f.window = readers.StartWindow
		defer f.close()
		f.startAll()
		require.True(t, waitUntil(2*readers.StartWindow, func() bool { return f.inForce(2, "") }))
		// The share of the limit that a fleet of this size has of the largest one.
		share := float64(len(f.vms)) / readers.AssumedFleetSize
		watches := 3 * readers.PerZone * int(keyCount)
		require.Less(t, float64(f.platform.busiestSecond(0)), float64(2*watches)+4*readers.PlatformRateLimit*share)
	})
}

// largeFleet is one zone of twelve nodes in a list of many VMs.
func largeFleet(t *testing.T, test func(*testing.T, *fleet)) {
	inFleet(t, 1, 12, func(t *testing.T, f *fleet) {
		f.platform.put(platform.KeyVMs, listOf(append(manyVMs(3000), f.vms...)))
		time.Sleep(30 * time.Second)
		require.Len(t, f.nodes["vm-0-0"].holder.Load().ByVM, 3012)
		test(t, f)
	})
}

func TestReadersOfALargeFleetKeepTheirShare(t *testing.T) {
	largeFleet(t, func(t *testing.T, f *fleet) {
		before := f.platform.readCount()
		const seconds = 60
		time.Sleep(seconds * time.Second)
		// One more for each watch of at least one second: where it ends.
		most := 2 * readers.PerZone * int(seconds*readers.Rate(3012)+1)
		require.LessOrEqual(t, f.platform.readCount()-before, most)
		require.Positive(t, f.platform.readCount()-before)
	})
}

func TestNodesThatBeginToCheckTogetherSpreadTheirReads(t *testing.T) {
	largeFleet(t, func(t *testing.T, f *fleet) {
		f.platform.setDown(true)
		before := f.platform.readCount()
		time.Sleep(2 * readers.StaleAfter)
		require.Greater(t, f.platform.readCount()-before, len(f.vms))
		// All twelve want to read both keys; the fleet would need five seconds.
		require.LessOrEqual(t, f.platform.busiestSecond(before), len(f.vms))
	})
}
