package discovery

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/registry"
	"github.com/galenacart/galenacart/decision/storeera"
)

func position(era, revision uint64) storeera.Position {
	return storeera.Position{Era: era, Revision: revision}
}

// travelled returns news as they come out of a message.
func travelled(t *testing.T, n *Update) *Update {
	t.Helper()
	data, err := cbor.Marshal(n)
	require.NoError(t, err)
	out := &Update{}
	require.NoError(t, cbor.Unmarshal(data, out))
	return out
}

// TestReaderBeforeARestoreTellsNothing holds that a reader which was cut off over a
// restore overwrites nobody who knows more, however high its revision is.
func TestReaderBeforeARestoreTellsNothing(t *testing.T) {
	reader, _ := newBoard()
	reader.ObserveEra(1)
	reader.ApplyConfiguration(configurationOf(7, "s1"))
	reader.PutEndpoint(entryOf("e1", "10.0.0.1:80", false))
	reader.AdvanceRevision(100)
	whole, listener := reader.Subscribe()
	defer reader.Unsubscribe(listener)

	b, holder := newBoard()
	require.True(t, b.ApplyUpdate(travelled(t, whole)))
	b.ObserveEra(2)
	b.ReplaceEndpoints([]registry.Entry{entryOf("e1", "10.0.0.1:80", true), entryOf("e2", "10.0.0.2:80", false)})
	b.AdvanceRevision(5)
	require.False(t, b.ApplyUpdate(travelled(t, whole)), "everything, of the era before")
	reader.RemoveEndpoint("e1")
	reader.PutEndpoint(entryOf("e3", "10.0.0.3:80", false))
	reader.AdvanceRevision(102)
	for range 3 {
		require.False(t, b.ApplyUpdate(travelled(t, <-listener.C)), "changes of the era before")
	}
	require.False(t, b.ApplyUpdate(travelled(t, reader.Heartbeat())), "not even a sign of life")
	require.Equal(t, position(2, 5), b.Position())
	require.True(t, holder.Load().ByVM["e1"].Leaving)
	require.NotNil(t, holder.Load().ByVM["e2"])
	require.Nil(t, holder.Load().ByVM["e3"])
}

// TestListenerFollowsItsReaderOverARestore holds that a listener stays with its reader,
// and would itself go on from where the reader stands.
func TestListenerFollowsItsReaderOverARestore(t *testing.T) {
	reader, readerView := newBoard()
	reader.ObserveEra(1)
	reader.ApplyConfiguration(configurationOf(7, "s1"))
	reader.PutEndpoint(entryOf("e1", "10.0.0.1:80", false))
	reader.AdvanceRevision(100)
	whole, heard := reader.Subscribe()
	defer reader.Unsubscribe(heard)
	listener, listenerView := newBoard()
	require.True(t, listener.ApplyUpdate(travelled(t, whole)))
	for _, era := range []uint64{2, 3} {
		require.Equal(t, storeera.Restored, reader.ObserveEra(era))
		reader.ApplyConfiguration(configurationOf(6, "older"))
		reader.ReplaceEndpoints([]registry.Entry{entryOf("e2", "10.0.0.2:80", false)})
		reader.AdvanceRevision(90 + era)
		drain(t, heard, listener)
		require.Equal(t, position(era, 90+era), listener.Position())
		require.Equal(t, readerView.Load().ByVM, listenerView.Load().ByVM)
		require.EqualValues(t, 7, listenerView.Load().Revision)
	}
}

// TestNodeThatStartsLearnsWhoIsGone plays a node that starts after a restore and
// reads the older copy, in which an endpoint that is gone still stands.
func TestNodeThatStartsLearnsWhoIsGone(t *testing.T) {
	from, _ := newBoard()
	from.ApplyConfiguration(configurationOf(7, "s1"))
	from.PutEndpoint(entryOf("gone", "10.0.0.1:80", false))
	from.PutEndpoint(entryOf("e2", "10.0.0.2:80", false))
	from.RemoveEndpoint("gone")
	older := []registry.Entry{entryOf("gone", "10.0.0.1:80", false), entryOf("e2", "10.0.0.2:80", false)}
	tests := []struct {
		desc  string
		learn func(b *Directory)
	}{
		{"told by a reader", func(b *Directory) {
			whole, l := from.Subscribe()
			from.Unsubscribe(l)
			require.True(t, b.ApplyUpdate(travelled(t, whole)))
		}},
		{"told while the store is away", func(b *Directory) { b.ImportState(from.ExportState()) }},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b, holder := newBoard()
			test.learn(b)
			b.ObserveEra(2)
			b.ReplaceEndpoints(older)
			require.Nil(t, holder.Load().ByVM["gone"])
			require.NotNil(t, holder.Load().ByVM["e2"])
		})
	}
	t.Run("told after it read the copy", func(t *testing.T) {
		b, holder := newBoard()
		b.ObserveEra(2)
		b.ReplaceEndpoints(older)
		require.NotNil(t, holder.Load().ByVM["gone"], "nobody has told otherwise")
		from.ObserveEra(2)
		whole, l := from.Subscribe()
		from.Unsubscribe(l)
		require.True(t, b.ApplyUpdate(travelled(t, whole)))
		require.Nil(t, holder.Load().ByVM["gone"])
	})
}
