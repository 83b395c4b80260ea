package discovery

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/registry"
	"github.com/galenacart/galenacart/decision/storeera"
)

// drain gives one board what another has told, as it travels.
func drain(t *testing.T, l *Subscriber, to *Directory) (count int) {
	t.Helper()
	for {
		select {
		case n := <-l.C:
			data, err := cbor.Marshal(n)
			require.NoError(t, err)
			var travelled Update
			require.NoError(t, cbor.Unmarshal(data, &travelled))
			require.True(t, to.ApplyUpdate(&travelled))
			count++
		default:
			return count
		}
	}
}

func TestNewsKeepAnotherBoardAlike(t *testing.T) {
	from, fromView := newBoard()
	from.ApplyConfiguration(configurationOf(7, "s1"))
	from.PutEndpoint(entryOf("e1", "10.0.0.1:80", false))
	from.AdvanceRevision(10)
	whole, listener := from.Subscribe()
	defer from.Unsubscribe(listener)
	to, toView := newBoard()
	require.True(t, to.ApplyUpdate(whole))
	require.Equal(t, fromView.Load().ByVM, toView.Load().ByVM)
	require.Equal(t, storeera.Position{Revision: 10}, to.Position())

	steps := []struct {
		desc string
		do   func()
		news int
	}{
		{"an endpoint comes", func() { from.PutEndpoint(entryOf("e2", "10.0.0.2:80", false)) }, 1},
		{"it leaves", func() { from.PutEndpoint(entryOf("e2", "10.0.0.2:80", true)) }, 1},
		{"it is gone", func() { from.RemoveEndpoint("e2") }, 1},
		{"a sign of life changes nothing", func() {
			e := entryOf("e1", "10.0.0.1:80", false)
			e.Sequence++
			from.PutEndpoint(e)
		}, 0},
		{"a configuration", func() { from.ApplyConfiguration(configurationOf(8, "s2")) }, 1},
		{"an older one", func() { from.ApplyConfiguration(configurationOf(6, "s3")) }, 0},
		{"a run at the address of another", func() {
			e := entryOf("e3", "10.0.0.1:80", false)
			e.StartedMs++
			from.PutEndpoint(e)
		}, 1},
		{"the list, with another endpoint", func() { from.ReplaceEndpoints([]registry.Entry{entryOf("e4", "10.0.0.4:80", false)}) }, 1},
		{"a revision", func() { from.AdvanceRevision(20) }, 1},
		{"the same revision", func() { from.AdvanceRevision(20) }, 0},
	}
	for _, step := range steps {
		step.do()
		require.Equal(t, step.news, drain(t, listener, to), step.desc)
		require.Equal(t, fromView.Load().ByVM, toView.Load().ByVM, step.desc)
		require.Equal(t, fromView.Load().Revision, toView.Load().Revision, step.desc)
		require.Equal(t, from.Position(), to.Position(), step.desc)
	}
}

// TestNewsOfAnEndpointAreSmall holds what travels for one endpoint to little more
// than what it says: everything goes to each listener that comes.
func TestNewsOfAnEndpointAreSmall(t *testing.T) {
	const endpoints, textBytes, otherBytesMax = 300, len("i-0123456789") + len("service") + len("10.20.30.40:12345") + len("zone-a"), 30
	from, _ := newBoard()
	for i := range endpoints {
		from.PutEndpoint(registry.Entry{
			ID: fmt.Sprintf("i-%010d", i), Service: "service", Address: "10.20.30.40:12345", AvailabilityZone: "zone-a",
			Slots: 124, StartedMs: 1700000000000, Sequence: 70000,
		})
	}
	whole, listener := from.Subscribe()
	defer from.Unsubscribe(listener)
	data, err := cbor.Marshal(whole)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data)/endpoints, textBytes+otherBytesMax)
}

func TestEverythingAsItWasBeforeIsRefused(t *testing.T) {
	from, _ := newBoard()
	from.PutEndpoint(entryOf("gone", "10.0.0.1:80", false))
	from.AdvanceRevision(10)
	whole, listener := from.Subscribe()
	from.Unsubscribe(listener)
	to, toView := newBoard()
	to.ApplyConfiguration(configurationOf(7, "s1"))
	to.AdvanceRevision(11)
	require.False(t, to.ApplyUpdate(whole))
	require.Nil(t, toView.Load().ByVM["gone"])
	require.Equal(t, storeera.Position{Revision: 11}, to.Position())
}

func TestListenerThatFallsBehindIsEnded(t *testing.T) {
	b, _ := newBoard()
	_, slow := b.Subscribe()
	for revision := range uint64(newsMax + 2) {
		b.AdvanceRevision(revision + 1)
	}
	for range newsMax {
		require.NotNil(t, <-slow.C)
	}
	n, open := <-slow.C
	require.Nil(t, n)
	require.False(t, open)
	b.Unsubscribe(slow) // once more does no harm
}

// FuzzTake reads what a node may be told, and uses it.
func FuzzTake(f *testing.F) {
	b, _ := newBoard()
	b.ApplyConfiguration(configurationOf(7, "s1"))
	b.PutEndpoint(entryOf("e1", "10.0.0.1:80", false))
	b.PutEndpoint(entryOf("e2", "10.0.0.2:80", false))
	b.RemoveEndpoint("e2")
	whole, l := b.Subscribe()
	b.Unsubscribe(l)
	for _, n := range []*Update{whole, b.Heartbeat(), {Configuration: &Configuration{Version: 9}}, {Removed: []string{"e1"}}} {
		data, err := cbor.Marshal(n)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		n, err := DecodeUpdate(data)
		if err != nil {
			return
		}
		b, holder := newBoard()
		b.ApplyUpdate(n)
		index := holder.Load().Index
		if index == nil {
			return
		}
		if route := index.RouteByHost("a.example", "/x/y"); route != nil {
			route.ServiceFor(0.5)
			index.Rank(route.Class)
		}
		b.ExportState()
	})
}
