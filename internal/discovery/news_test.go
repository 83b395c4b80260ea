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
func drain(t *testing.T, l *Listener, to *Board) (count int) {
	t.Helper()
	for {
		select {
		case n := <-l.C:
			data, err := cbor.Marshal(n)
			require.NoError(t, err)
			var travelled News
			require.NoError(t, cbor.Unmarshal(data, &travelled))
			require.True(t, to.Take(&travelled))
			count++
		default:
			return count
		}
	}
}

func TestNewsKeepAnotherBoardAlike(t *testing.T) {
	from, fromView := newBoard()
	from.Configure(configurationOf(7, "s1"))
	from.Put(entryOf("e1", "10.0.0.1:80", false))
	from.Reached(10)
	whole, listener := from.Listen()
	defer from.Unlisten(listener)
	to, toView := newBoard()
	require.True(t, to.Take(whole))
	require.Equal(t, fromView.Load().ByVM, toView.Load().ByVM)
	require.Equal(t, storeera.Position{Revision: 10}, to.At())

	steps := []struct {
		desc string
		do   func()
		news int
	}{
		{"an endpoint comes", func() { from.Put(entryOf("e2", "10.0.0.2:80", false)) }, 1},
		{"it leaves", func() { from.Put(entryOf("e2", "10.0.0.2:80", true)) }, 1},
		{"it is gone", func() { from.Remove("e2") }, 1},
		{"a sign of life changes nothing", func() {
			e := entryOf("e1", "10.0.0.1:80", false)
			e.Sequence++
			from.Put(e)
		}, 0},
		{"a configuration", func() { from.Configure(configurationOf(8, "s2")) }, 1},
		{"an older one", func() { from.Configure(configurationOf(6, "s3")) }, 0},
		{"a run at the address of another", func() {
			e := entryOf("e3", "10.0.0.1:80", false)
			e.StartedMs++
			from.Put(e)
		}, 1},
		{"the list, with another endpoint", func() { from.Replace([]registry.Entry{entryOf("e4", "10.0.0.4:80", false)}) }, 1},
		{"a revision", func() { from.Reached(20) }, 1},
		{"the same revision", func() { from.Reached(20) }, 0},
	}
	for _, step := range steps {
		step.do()
		require.Equal(t, step.news, drain(t, listener, to), step.desc)
		require.Equal(t, fromView.Load().ByVM, toView.Load().ByVM, step.desc)
		require.Equal(t, fromView.Load().Revision, toView.Load().Revision, step.desc)
		require.Equal(t, from.At(), to.At(), step.desc)
	}
}

// TestNewsOfAnEndpointAreSmall holds what travels for one endpoint to little more
// than what it says: everything goes to each listener that comes.
func TestNewsOfAnEndpointAreSmall(t *testing.T) {
	const endpoints, textBytes, otherBytesMax = 300, len("i-0123456789") + len("service") + len("10.20.30.40:12345") + len("zone-a"), 30
	from, _ := newBoard()
	for i := range endpoints {
		from.Put(registry.Entry{
			ID: fmt.Sprintf("i-%010d", i), Service: "service", Address: "10.20.30.40:12345", AvailabilityZone: "zone-a",
			Slots: 124, StartedMs: 1700000000000, Sequence: 70000,
		})
	}
	whole, listener := from.Listen()
	defer from.Unlisten(listener)
	data, err := cbor.Marshal(whole)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data)/endpoints, textBytes+otherBytesMax)
}

func TestEverythingAsItWasBeforeIsRefused(t *testing.T) {
	from, _ := newBoard()
	from.Put(entryOf("gone", "10.0.0.1:80", false))
	from.Reached(10)
	whole, listener := from.Listen()
	from.Unlisten(listener)
	to, toView := newBoard()
	to.Configure(configurationOf(7, "s1"))
	to.Reached(11)
	require.False(t, to.Take(whole))
	require.Nil(t, toView.Load().ByVM["gone"])
	require.Equal(t, storeera.Position{Revision: 11}, to.At())
}

func TestListenerThatFallsBehindIsEnded(t *testing.T) {
	b, _ := newBoard()
	_, slow := b.Listen()
	for revision := range uint64(newsMax + 2) {
		b.Reached(revision + 1)
	}
	for range newsMax {
		require.NotNil(t, <-slow.C)
	}
	n, open := <-slow.C
	require.Nil(t, n)
	require.False(t, open)
	b.Unlisten(slow) // once more does no harm
}

// FuzzTake reads what a node may be told, and uses it.
func FuzzTake(f *testing.F) {
	b, _ := newBoard()
	b.Configure(configurationOf(7, "s1"))
	b.Put(entryOf("e1", "10.0.0.1:80", false))
	b.Put(entryOf("e2", "10.0.0.2:80", false))
	b.Remove("e2")
	whole, l := b.Listen()
	b.Unlisten(l)
	for _, n := range []*News{whole, b.Beat(), {Configuration: &Configuration{Version: 9}}, {Removed: []string{"e1"}}} {
		data, err := cbor.Marshal(n)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		n, err := DecodeNews(data)
		if err != nil {
			return
		}
		b, holder := newBoard()
		b.Take(n)
		index := holder.Load().Index
		if index == nil {
			return
		}
		if route := index.AtHost("a.example", "/x/y"); route != nil {
			route.ServiceFor(0.5)
			index.Rank(route.Class)
		}
		b.Share()
	})
}
