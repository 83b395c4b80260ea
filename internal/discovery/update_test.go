package discovery

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/registry"
	"github.com/galenacart/galenacart/decision/storeera"
)

// applyPending applies the queued updates of a subscriber to a directory, encoded as on the
// wire, and returns their number.
func applyPending(t *testing.T, s *Subscriber, to *Directory) (count int) {
	t.Helper()
	for {
		select {
		case u := <-s.C:
			data, err := cbor.Marshal(u)
			require.NoError(t, err)
			var decoded Update
			require.NoError(t, cbor.Unmarshal(data, &decoded))
			require.True(t, to.ApplyUpdate(&decoded))
			count++
		default:
			return count
		}
	}
}

func TestUpdatesKeepAnotherDirectoryInSync(t *testing.T) {
	from, fromView := newTestDirectory()
	from.ApplyConfiguration(newConfiguration(7, "s1"))
	from.PutEndpoint(newEntry("e1", "10.0.0.1:80", false))
	from.AdvanceRevision(10, 0)
	snapshot, subscriber := from.Subscribe()
	defer from.Unsubscribe(subscriber)
	to, toView := newTestDirectory()
	require.True(t, to.ApplyUpdate(snapshot))
	require.Equal(t, fromView.Load().ByVM, toView.Load().ByVM)
	require.Equal(t, storeera.Position{Revision: 10}, to.Position())

	steps := []struct {
		desc    string
		do      func()
		updates int
	}{
		{"an endpoint is added", func() { from.PutEndpoint(newEntry("e2", "10.0.0.2:80", false)) }, 1},
		{"the endpoint is leaving", func() { from.PutEndpoint(newEntry("e2", "10.0.0.2:80", true)) }, 1},
		{"the endpoint is removed", func() { from.RemoveEndpoint("e2") }, 1},
		{"a heartbeat changes nothing", func() {
			e := newEntry("e1", "10.0.0.1:80", false)
			e.Sequence++
			from.PutEndpoint(e)
		}, 0},
		{"a newer configuration", func() { from.ApplyConfiguration(newConfiguration(8, "s2")) }, 1},
		{"an older configuration", func() { from.ApplyConfiguration(newConfiguration(6, "s3")) }, 0},
		{"a new endpoint instance at the address of another", func() {
			e := newEntry("e3", "10.0.0.1:80", false)
			e.StartedMs++
			from.PutEndpoint(e)
		}, 1},
		{"a full list with another endpoint", func() { from.ReplaceEndpoints([]registry.Entry{newEntry("e4", "10.0.0.4:80", false)}) }, 1},
		{"a newer revision", func() { from.AdvanceRevision(20, 0) }, 1},
		{"a confirmation without changes", func() { from.ConfirmUnchanged(0) }, 1},
		{"the same revision", func() { from.AdvanceRevision(20, 0) }, 0},
	}
	for _, step := range steps {
		step.do()
		require.Equal(t, step.updates, applyPending(t, subscriber, to), step.desc)
		require.Equal(t, fromView.Load().ByVM, toView.Load().ByVM, step.desc)
		require.Equal(t, fromView.Load().Revision, toView.Load().Revision, step.desc)
		require.Equal(t, from.Position(), to.Position(), step.desc)
	}
}

// TestSnapshotBytesPerEndpointAreBounded limits the encoded size of an endpoint to little
// more than its texts, since every new subscriber receives a snapshot.
func TestSnapshotBytesPerEndpointAreBounded(t *testing.T) {
	const endpoints, textBytes, otherBytesMax = 300, len("i-0123456789") + len("service") + len("10.20.30.40:12345") + len("zone-a"), 30
	from, _ := newTestDirectory()
	for i := range endpoints {
		from.PutEndpoint(registry.Entry{
			ID: fmt.Sprintf("i-%010d", i), Service: "service", Address: "10.20.30.40:12345", AvailabilityZone: "zone-a",
			Slots: 124, StartedMs: 1700000000000, Sequence: 70000,
		})
	}
	snapshot, subscriber := from.Subscribe()
	defer from.Unsubscribe(subscriber)
	data, err := cbor.Marshal(snapshot)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data)/endpoints, textBytes+otherBytesMax)
}

func TestOutdatedSnapshotIsRejected(t *testing.T) {
	from, _ := newTestDirectory()
	from.PutEndpoint(newEntry("gone", "10.0.0.1:80", false))
	from.AdvanceRevision(10, 0)
	snapshot, subscriber := from.Subscribe()
	from.Unsubscribe(subscriber)
	to, toView := newTestDirectory()
	to.ApplyConfiguration(newConfiguration(7, "s1"))
	to.AdvanceRevision(11, 0)
	require.False(t, to.ApplyUpdate(snapshot))
	require.Nil(t, toView.Load().ByVM["gone"])
	require.Equal(t, storeera.Position{Revision: 11}, to.Position())
}

func TestSlowSubscriberIsClosed(t *testing.T) {
	d, _ := newTestDirectory()
	_, slow := d.Subscribe()
	for revision := range uint64(pendingUpdatesMax + 2) {
		d.AdvanceRevision(revision+1, 0)
	}
	for range pendingUpdatesMax {
		require.NotNil(t, <-slow.C)
	}
	u, open := <-slow.C
	require.Nil(t, u)
	require.False(t, open)
	d.Unsubscribe(slow) // a second time has no effect
}

// FuzzTake applies arbitrary updates from another node and uses the resulting state.
func FuzzTake(f *testing.F) {
	d, _ := newTestDirectory()
	d.ApplyConfiguration(newConfiguration(7, "s1"))
	d.PutEndpoint(newEntry("e1", "10.0.0.1:80", false))
	d.PutEndpoint(newEntry("e2", "10.0.0.2:80", false))
	d.RemoveEndpoint("e2")
	snapshot, s := d.Subscribe()
	d.Unsubscribe(s)
	for _, u := range []*Update{snapshot, d.Heartbeat(), {Configuration: &Configuration{Version: 9}}, {Removed: []string{"e1"}}} {
		data, err := cbor.Marshal(u)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		u, err := DecodeUpdate(data)
		if err != nil {
			return
		}
		d, holder := newTestDirectory()
		d.ApplyUpdate(u)
		index := holder.Load().Index
		if index == nil {
			return
		}
		if route := index.RouteByHost("a.example", "/x/y"); route != nil {
			route.ServiceFor(0.5)
			index.Rank(route.Class)
		}
		d.ExportState()
	})
}

// TestInvalidEndpointsOfOtherNodesAreDropped guards against entries that a node of an earlier version
// passes on and this one would reject.
func TestInvalidEndpointsOfOtherNodesAreDropped(t *testing.T) {
	tests := []struct {
		desc   string
		change func(e *registry.Entry)
	}{
		{"no ID", func(e *registry.Entry) { e.ID = "" }},
		{"no service", func(e *registry.Entry) { e.Service = "" }},
		{"a long zone", func(e *registry.Entry) { e.AvailabilityZone = strings.Repeat("z", nameBytesMax+1) }},
		{"too many slots", func(e *registry.Entry) { e.Slots = slotsMax + 1 }},
		{"no slots", func(e *registry.Entry) { e.Slots = 0 }},
		{"no address", func(e *registry.Entry) { e.Address = "" }},
		{"port 0", func(e *registry.Entry) { e.Address = "10.0.0.2:0" }},
	}
	for _, test := range tests {
		for _, whole := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, whole %v", test.desc, whole), func(t *testing.T) {
				odd := newEntry("odd", "10.0.0.2:80", false)
				test.change(&odd)
				d, views := newTestDirectory()
				require.True(t, d.ApplyUpdate(&Update{
					At: storeera.Position{Revision: 1}, Configuration: newConfiguration(7, "s1"), Whole: whole,
					Endpoints: []registry.Entry{odd, newEntry("e1", "10.0.0.1:80", false)},
				}))
				require.Len(t, views.Load().ByVM, 1)
				require.Contains(t, views.Load().ByVM, "e1")
			})
		}
	}
}
