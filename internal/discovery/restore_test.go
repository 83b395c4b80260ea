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
func travelled(t *testing.T, n *News) *News {
	t.Helper()
	data, err := cbor.Marshal(n)
	require.NoError(t, err)
	out := &News{}
	require.NoError(t, cbor.Unmarshal(data, out))
	return out
}

// TestReaderBeforeARestoreTellsNothing holds that a reader which was cut off over a
// restore overwrites nobody who knows more, however high its revision is.
func TestReaderBeforeARestoreTellsNothing(t *testing.T) {
	reader, _ := newBoard()
	reader.Heard(1)
	reader.Configure(configurationOf(7, "s1"))
	reader.Put(entryOf("e1", "10.0.0.1:80", false))
	reader.Reached(100)
	whole, listener := reader.Listen()
	defer reader.Unlisten(listener)

	b, holder := newBoard()
	require.True(t, b.Take(travelled(t, whole)))
	b.Heard(2)
	b.Replace([]registry.Entry{entryOf("e1", "10.0.0.1:80", true), entryOf("e2", "10.0.0.2:80", false)})
	b.Reached(5)
	require.False(t, b.Take(travelled(t, whole)), "everything, of the era before")
	reader.Remove("e1")
	reader.Put(entryOf("e3", "10.0.0.3:80", false))
	reader.Reached(102)
	for range 3 {
		require.False(t, b.Take(travelled(t, <-listener.C)), "changes of the era before")
	}
	require.False(t, b.Take(travelled(t, reader.Beat())), "not even a sign of life")
	require.Equal(t, position(2, 5), b.At())
	require.True(t, holder.Load().ByVM["e1"].Leaving)
	require.NotNil(t, holder.Load().ByVM["e2"])
	require.Nil(t, holder.Load().ByVM["e3"])
}

// TestListenerFollowsItsReaderOverARestore holds that a listener stays with its reader,
// and would itself go on from where the reader stands.
func TestListenerFollowsItsReaderOverARestore(t *testing.T) {
	reader, readerView := newBoard()
	reader.Heard(1)
	reader.Configure(configurationOf(7, "s1"))
	reader.Put(entryOf("e1", "10.0.0.1:80", false))
	reader.Reached(100)
	whole, heard := reader.Listen()
	defer reader.Unlisten(heard)
	listener, listenerView := newBoard()
	require.True(t, listener.Take(travelled(t, whole)))
	for _, era := range []uint64{2, 3} {
		require.Equal(t, storeera.Restored, reader.Heard(era))
		reader.Configure(configurationOf(6, "older"))
		reader.Replace([]registry.Entry{entryOf("e2", "10.0.0.2:80", false)})
		reader.Reached(90 + era)
		drain(t, heard, listener)
		require.Equal(t, position(era, 90+era), listener.At())
		require.Equal(t, readerView.Load().ByVM, listenerView.Load().ByVM)
		require.EqualValues(t, 7, listenerView.Load().Revision)
	}
}

// TestNodeThatStartsLearnsWhoIsGone plays a node that starts after a restore and
// reads the older copy, in which an endpoint that is gone still stands.
func TestNodeThatStartsLearnsWhoIsGone(t *testing.T) {
	from, _ := newBoard()
	from.Configure(configurationOf(7, "s1"))
	from.Put(entryOf("gone", "10.0.0.1:80", false))
	from.Put(entryOf("e2", "10.0.0.2:80", false))
	from.Remove("gone")
	older := []registry.Entry{entryOf("gone", "10.0.0.1:80", false), entryOf("e2", "10.0.0.2:80", false)}
	tests := []struct {
		desc  string
		learn func(b *Board)
	}{
		{"told by a reader", func(b *Board) {
			whole, l := from.Listen()
			from.Unlisten(l)
			require.True(t, b.Take(travelled(t, whole)))
		}},
		{"told while the store is away", func(b *Board) { b.Adopt(from.Share()) }},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b, holder := newBoard()
			test.learn(b)
			b.Heard(2)
			b.Replace(older)
			require.Nil(t, holder.Load().ByVM["gone"])
			require.NotNil(t, holder.Load().ByVM["e2"])
		})
	}
	t.Run("told after it read the copy", func(t *testing.T) {
		b, holder := newBoard()
		b.Heard(2)
		b.Replace(older)
		require.NotNil(t, holder.Load().ByVM["gone"], "nobody has told otherwise")
		from.Heard(2)
		whole, l := from.Listen()
		from.Unlisten(l)
		require.True(t, b.Take(travelled(t, whole)))
		require.Nil(t, holder.Load().ByVM["gone"])
	})
}
