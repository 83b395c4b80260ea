package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/readers"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/platform"
)

// inFleet runs a test in fake time with a fleet whose nodes all have the first
// catalogue.
func inFleet(t *testing.T, zones, perZone int, test func(*testing.T, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(zones, perZone)
		defer f.close()
		f.startAll()
		require.True(t, waitUntil(5*time.Second, func() bool { return f.inForce(2, "") }), "first catalogue")
		test(t, f)
	})
}

func TestCatalogueChangeReachesAllNodes(t *testing.T) {
	inFleet(t, 3, 4, func(t *testing.T, f *fleet) {
		revision := f.platform.put(platform.KeyCatalogue, catalogueWith(1))
		require.True(t, waitUntil(2*time.Second, func() bool { return f.inForce(revision, "") }))
		for _, n := range f.nodes {
			require.Len(t, n.holder.Load().ByService["stock"], 12)
			require.Equal(t, 1001, n.holder.Load().Index.Route("POST", "/book").Limits.TimeoutMs)
		}
	})
}

func TestOlderAndConflictingStatesAreRejected(t *testing.T) {
	cases := []struct {
		desc     string
		revision uint64
		reason   string
	}{
		{"reverts to an older state", 1, "older"},
		{"same revision, other content", 3, "conflict"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			inFleet(t, 1, 3, func(t *testing.T, f *fleet) {
				require.Equal(t, uint64(3), f.platform.put(platform.KeyCatalogue, catalogueWith(1)))
				require.True(t, waitUntil(2*time.Second, func() bool { return f.inForce(3, "") }))
				f.platform.forceState(platform.KeyCatalogue, platform.Value{Data: catalogueWith(7), Revision: c.revision})
				// A restarted node reads this state, but its peers have the newer one.
				f.crash("vm-0-0")
				n := f.start(f.vms[0])
				require.True(t, waitUntil(5*time.Second, func() bool { return n.holder.Load().Revision != 0 }))
				require.Equal(t, uint64(3), n.holder.Load().Revision, "first catalogue of the restarted node")
				time.Sleep(time.Minute)
				require.True(t, f.inForce(3, ""))
				require.Equal(t, 1001, n.holder.Load().Index.Route("POST", "/book").Limits.TimeoutMs)
				refused := n.Status().Catalogue.Refused
				require.NotNil(t, refused)
				require.Contains(t, refused.Reason, c.reason)
				if c.revision < 3 {
					require.NotNil(t, f.nodes["vm-0-1"].Status().Catalogue.Refused, "node that has read the newer state")
				}
			})
		})
	}
}

func TestInvalidCatalogueIsRejected(t *testing.T) {
	inFleet(t, 1, 3, func(t *testing.T, f *fleet) {
		f.platform.put(platform.KeyCatalogue, []byte(`{"classes":[]}`))
		time.Sleep(15 * time.Second)
		require.True(t, f.inForce(2, ""))
		require.Contains(t, f.nodes["vm-0-0"].Status().Catalogue.Refused.Reason, "invalid")
		revision := f.platform.put(platform.KeyCatalogue, catalogueWith(2))
		require.True(t, waitUntil(2*time.Second, func() bool { return f.inForce(revision, "") }))
		require.Nil(t, f.nodes["vm-0-0"].Status().Catalogue.Refused)
	})
}

func TestNodeBootstrapsFromPeersDuringPlatformOutage(t *testing.T) {
	inFleet(t, 2, 3, func(t *testing.T, f *fleet) {
		f.platform.setDown(true)
		time.Sleep(2 * recentRead)
		f.crash("vm-0-0")
		n := f.start(f.vms[0])
		// Its peers dial it, as it is still in their VM list.
		require.True(t, waitUntil(15*time.Second, func() bool { return n.holder.Load().Revision == 2 }))
		require.Equal(t, "without_platform", n.Status().CatalogueBootstrap)
	})
}

func TestLeavingIsPublishedUntilProcessEnds(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		isLeaving := func() bool {
			for _, n := range f.nodes {
				if m := n.holder.Load().ByVM["vm-0-1"]; m == nil || !m.Leaving {
					return false
				}
			}
			return true
		}
		f.nodes["vm-0-1"].Leave()
		require.True(t, waitUntil(500*time.Millisecond, isLeaving))
		require.True(t, f.nodes["vm-0-1"].holder.Load().Leaving)
		f.stop("vm-0-1")
		isRemoved := func() bool {
			for _, n := range f.nodes {
				if n.holder.Load().ByVM["vm-0-1"] != nil {
					return false
				}
			}
			return true
		}
		require.True(t, waitUntil(time.Second, isRemoved), "VM listed as live was not removed after its stop")
		n := f.start(f.vms[1])
		isLiveAgain := func() bool {
			for _, other := range f.nodes {
				if m := other.holder.Load().ByVM["vm-0-1"]; m == nil || m.Leaving || m.Incarnation != n.Incarnation() {
					return false
				}
			}
			return true
		}
		require.True(t, waitUntil(time.Second, isLiveAgain), "new process on the VM")
	})
}

func TestReportsAloneNeverRemoveAListedMember(t *testing.T) {
	inFleet(t, 1, 3, func(t *testing.T, f *fleet) {
		n := f.nodes["vm-0-0"]
		n.reports.Send(fleetview.Report{Kind: fleetview.ReportPeerUnreachable, VM: "vm-0-1"})
		time.Sleep(2 * time.Second)
		require.NotNil(t, n.holder.Load().ByVM["vm-0-1"])
		// The list no longer contains a VM that answers.
		f.platform.put(platform.KeyVMs, listOf(f.vms[:2]))
		time.Sleep(5 * time.Minute)
		require.NotNil(t, n.holder.Load().ByVM["vm-0-2"])
		f.crash("vm-0-2")
		require.True(t, waitUntil(3*time.Minute, func() bool { return n.holder.Load().ByVM["vm-0-2"] == nil }))
	})
}

func TestSuspectsPropagateCountOnceAndExpire(t *testing.T) {
	inFleet(t, 2, 3, func(t *testing.T, f *fleet) {
		lost := func(want int) bool {
			for _, n := range f.nodes {
				if n.holder.Load().Suspects[77] != want {
					return false
				}
			}
			return true
		}
		// The VM's own node and a caller's node report the same crash.
		f.nodes["vm-0-0"].reports.Send(fleetview.Report{Kind: fleetview.ReportEndpointCrashed, VM: "vm-0-0", Fingerprint: 77})
		f.nodes["vm-1-0"].reports.Send(fleetview.Report{Kind: fleetview.ReportEndpointCrashed, VM: "vm-0-0", Fingerprint: 77})
		require.True(t, waitUntil(time.Second, func() bool { return lost(1) }))
		f.nodes["vm-1-1"].reports.Send(fleetview.Report{Kind: fleetview.ReportEndpointCrashed, VM: "vm-1-1", Fingerprint: 77})
		require.True(t, waitUntil(time.Second, func() bool { return lost(2) }))
		f.crash("vm-0-2")
		f.start(f.vms[2])
		require.True(t, waitUntil(5*time.Second, func() bool { return lost(2) }), "restarted node")
		require.True(t, waitUntil(suspectLifetime+2*expireInterval, func() bool { return lost(0) }))
	})
}

func TestProcessPauseVoidsPendingReads(t *testing.T) {
	inFleet(t, 1, 3, func(t *testing.T, f *fleet) {
		n := f.nodes["vm-0-0"]
		require.Equal(t, readers.DutyWatch.String(), n.Status().Catalogue.ReadRole)
		n.pause(time.Minute)
		require.True(t, waitUntil(time.Second, func() bool { return n.Status().Epoch == 2 }))
		require.Contains(t, n.events.String(), "woke_late")
		// The result of a read that began before the pause is discarded.
		n.thread.post(readDone{key: keyCatalogue, epoch: 1, offer: decodeOffer(keyCatalogue, 99, catalogueWith(9), decodeBasis{}, sourcePlatform)})
		time.Sleep(time.Second)
		require.Equal(t, uint64(2), n.holder.Load().Revision)
		require.True(t, waitUntil(5*time.Second, func() bool { return n.Status().CatalogueBootstrap == "confirmed" }))
		revision := f.platform.put(platform.KeyCatalogue, catalogueWith(1))
		require.True(t, waitUntil(2*time.Second, func() bool { return f.inForce(revision, "") }))
	})
}

func TestPartitionedZoneKeepsStateAndConvergesAfterwards(t *testing.T) {
	inFleet(t, 3, 3, func(t *testing.T, f *fleet) {
		f.network.setPartitioned("zone-0", true)
		time.Sleep(2 * time.Second)
		revision := f.platform.put(platform.KeyCatalogue, catalogueWith(1))
		require.True(t, waitUntil(2*time.Second, func() bool {
			return f.inForce(revision, "zone-1") && f.inForce(revision, "zone-2")
		}))
		f.crash("vm-1-0")
		replacement := f.start(f.vms[3])
		time.Sleep(10 * time.Minute)
		require.True(t, f.inForce(2, "zone-0"))
		require.Len(t, f.nodes["vm-0-0"].holder.Load().ByVM, 9)
		f.stop("vm-1-1") // the list still has it as live
		f.network.setPartitioned("zone-0", false)
		require.True(t, waitUntil(2*time.Second, func() bool { return f.inForce(revision, "zone-0") }))
		converged := func() bool {
			for _, n := range f.nodes {
				byVM := n.holder.Load().ByVM
				if byVM["vm-1-0"].Incarnation != replacement.Incarnation() || byVM["vm-1-1"] != nil {
					return false
				}
			}
			return true
		}
		require.True(t, waitUntil(10*time.Second, converged), "VMs that were replaced or stopped during the partition")
	})
}
