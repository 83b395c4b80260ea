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

// roundTrip encodes and decodes an update.
func roundTrip(t *testing.T, u *Update) *Update {
	t.Helper()
	data, err := cbor.Marshal(u)
	require.NoError(t, err)
	out := &Update{}
	require.NoError(t, cbor.Unmarshal(data, out))
	return out
}

// TestUpdatesFromBeforeARestoreAreRejected checks that a reader that was disconnected during
// a restore of the store overwrites no newer state, however high its revision is.
func TestUpdatesFromBeforeARestoreAreRejected(t *testing.T) {
	reader, _ := newTestDirectory()
	reader.ObserveEra(1)
	reader.ApplyConfiguration(newConfiguration(7, "s1"))
	reader.PutEndpoint(newEntry("e1", "10.0.0.1:80", false))
	reader.AdvanceRevision(100, 0)
	snapshot, subscriber := reader.Subscribe()
	defer reader.Unsubscribe(subscriber)

	d, holder := newTestDirectory()
	require.True(t, d.ApplyUpdate(roundTrip(t, snapshot)))
	d.ObserveEra(2)
	d.ReplaceEndpoints([]registry.Entry{newEntry("e1", "10.0.0.1:80", true), newEntry("e2", "10.0.0.2:80", false)})
	d.AdvanceRevision(5, 0)
	require.False(t, d.ApplyUpdate(roundTrip(t, snapshot)), "a snapshot of the previous era")
	reader.RemoveEndpoint("e1")
	reader.PutEndpoint(newEntry("e3", "10.0.0.3:80", false))
	reader.AdvanceRevision(102, 0)
	for range 3 {
		require.False(t, d.ApplyUpdate(roundTrip(t, <-subscriber.C)), "changes of the previous era")
	}
	require.False(t, d.ApplyUpdate(roundTrip(t, reader.Heartbeat())), "a heartbeat of the previous era")
	require.Equal(t, position(2, 5), d.Position())
	require.True(t, holder.Load().ByVM["e1"].Leaving)
	require.NotNil(t, holder.Load().ByVM["e2"])
	require.Nil(t, holder.Load().ByVM["e3"])
}

// TestSubscriberFollowsItsReaderThroughARestore checks that a subscriber keeps following its
// reader and reaches the reader's position.
func TestSubscriberFollowsItsReaderThroughARestore(t *testing.T) {
	reader, readerView := newTestDirectory()
	reader.ObserveEra(1)
	reader.ApplyConfiguration(newConfiguration(7, "s1"))
	reader.PutEndpoint(newEntry("e1", "10.0.0.1:80", false))
	reader.AdvanceRevision(100, 0)
	snapshot, updates := reader.Subscribe()
	defer reader.Unsubscribe(updates)
	subscriber, subscriberView := newTestDirectory()
	require.True(t, subscriber.ApplyUpdate(roundTrip(t, snapshot)))
	for _, era := range []uint64{2, 3} {
		require.Equal(t, storeera.Restored, reader.ObserveEra(era))
		reader.ApplyConfiguration(newConfiguration(6, "older"))
		reader.ReplaceEndpoints([]registry.Entry{newEntry("e2", "10.0.0.2:80", false)})
		reader.AdvanceRevision(90+era, 0)
		applyPending(t, updates, subscriber)
		require.Equal(t, position(era, 90+era), subscriber.Position())
		require.Equal(t, readerView.Load().ByVM, subscriberView.Load().ByVM)
		require.EqualValues(t, 7, subscriberView.Load().Revision)
	}
}

// TestStartingNodeLearnsRemovedEndpoints starts a node after a restore, when the restored
// older copy still contains a removed endpoint.
func TestStartingNodeLearnsRemovedEndpoints(t *testing.T) {
	from, _ := newTestDirectory()
	from.ApplyConfiguration(newConfiguration(7, "s1"))
	from.PutEndpoint(newEntry("gone", "10.0.0.1:80", false))
	from.PutEndpoint(newEntry("e2", "10.0.0.2:80", false))
	from.RemoveEndpoint("gone")
	older := []registry.Entry{newEntry("gone", "10.0.0.1:80", false), newEntry("e2", "10.0.0.2:80", false)}
	tests := []struct {
		desc  string
		learn func(d *Directory)
	}{
		{"from a reader", func(d *Directory) {
			snapshot, s := from.Subscribe()
			from.Unsubscribe(s)
			require.True(t, d.ApplyUpdate(roundTrip(t, snapshot)))
		}},
		{"from another node while the store is unavailable", func(d *Directory) { d.ImportState(from.ExportState()) }},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			d, holder := newTestDirectory()
			test.learn(d)
			d.ObserveEra(2)
			d.ReplaceEndpoints(older)
			require.Nil(t, holder.Load().ByVM["gone"])
			require.NotNil(t, holder.Load().ByVM["e2"])
		})
	}
	t.Run("from a reader after reading the copy", func(t *testing.T) {
		d, holder := newTestDirectory()
		d.ObserveEra(2)
		d.ReplaceEndpoints(older)
		require.NotNil(t, holder.Load().ByVM["gone"], "no update has removed it")
		from.ObserveEra(2)
		snapshot, s := from.Subscribe()
		from.Unsubscribe(s)
		require.True(t, d.ApplyUpdate(roundTrip(t, snapshot)))
		require.Nil(t, holder.Load().ByVM["gone"])
	})
}
