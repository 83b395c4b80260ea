package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func entry(id string, sequence int64) Entry {
	return Entry{ID: id, Service: "stock", Address: "10.0.0.1:80", Slots: 10, StartedMs: 100, Sequence: sequence}
}

func leaving(e Entry) Entry {
	e.Leaving = true
	return e
}

func restarted(e Entry, startedMs int64) Entry {
	e.StartedMs = startedMs
	return e
}

func TestNewestEntryWins(t *testing.T) {
	tests := []struct {
		desc    string
		entries []Entry
		leaving bool
		live    int
	}{
		{"ready", []Entry{entry("a", 1)}, false, 1},
		{"ready, then leaving", []Entry{entry("a", 1), leaving(entry("a", 2))}, true, 1},
		{"an older entry arrives late", []Entry{leaving(entry("a", 5)), entry("a", 4)}, true, 1},
		{"leaving is final within a run", []Entry{leaving(entry("a", 5)), entry("a", 6)}, true, 1},
		{"a new run under the same ID", []Entry{leaving(entry("a", 5)), restarted(entry("a", 1), 200)}, false, 1},
		{"an old run after a new one", []Entry{restarted(entry("a", 1), 200), leaving(entry("a", 9))}, false, 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b := New()
			for _, e := range test.entries {
				b.Put(e)
			}
			live := b.Live()
			require.Len(t, live, test.live)
			require.Equal(t, test.leaving, live[0].Leaving)
		})
	}
}

func TestHeartbeatsChangeNothing(t *testing.T) {
	b := New()
	require.True(t, b.Put(entry("a", 1)))
	require.False(t, b.Put(entry("a", 2)))
	require.True(t, b.Put(leaving(entry("a", 3))))
}

func TestEntriesMissingAfterAnOutageAreKeptForTheGrace(t *testing.T) {
	b := New()
	b.Put(entry("republished", 1))
	b.Put(entry("missing", 1))
	b.MarkUnavailable()
	b.MarkAvailable(10 * time.Second)
	require.False(t, b.Replace(10*time.Second, nil), "both may be republished")
	require.Len(t, b.Live(), 2)
	b.Put(entry("republished", 2))
	require.False(t, b.Expire(10*time.Second+republishGrace-1))
	require.True(t, b.Expire(10*time.Second+republishGrace))
	live := b.Live()
	require.Len(t, live, 1)
	require.Equal(t, "republished", live[0].ID)
}

func TestRemovedEntryIsReplacedOnlyByANewerOne(t *testing.T) {
	tests := []struct {
		desc      string
		published Entry
		live      int
	}{
		{"its last entry, from an older copy", entry("a", 5), 0},
		{"an earlier entry", entry("a", 4), 0},
		{"an earlier run", restarted(entry("a", 9), 50), 0},
		{"a later entry of the same run", entry("a", 6), 1},
		{"a later run", restarted(entry("a", 1), 200), 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			for _, remove := range []func(b *Table){
				func(b *Table) { b.Put(entry("a", 5)); b.Remove(0, "a") },
				func(b *Table) { b.MergeRemoved(0, entry("a", 5)) },
				func(b *Table) { b.Put(entry("a", 4)); require.True(t, b.MergeRemoved(0, entry("a", 5))) },
			} {
				b := New()
				remove(b)
				require.Len(t, b.Removed(), 1)
				require.Equal(t, test.live == 1, b.Put(test.published))
				require.Len(t, b.Live(), test.live)
			}
		})
	}
}

func TestMergeRemovedKeepsANewerEntry(t *testing.T) {
	b := New()
	b.Put(entry("a", 6))
	require.False(t, b.MergeRemoved(0, entry("a", 5)))
	require.Len(t, b.Live(), 1)
	require.Empty(t, b.Removed())
}

// Entries missing from an older copy of the store get the grace of expired ones, anew with
// each restore.
func TestRestoreIsHandledLikeAnOutage(t *testing.T) {
	b := New()
	b.Put(entry("a", 1))
	b.MarkRestored(10 * time.Second)
	require.False(t, b.Replace(10*time.Second, nil))
	b.Put(entry("b", 1))
	b.MarkRestored(11 * time.Second)
	require.False(t, b.Replace(11*time.Second, nil))
	require.True(t, b.Expire(10*time.Second+republishGrace), "the grace of the first entry is over")
	require.Len(t, b.Live(), 1)
	require.True(t, b.Expire(11*time.Second+republishGrace))
	require.Empty(t, b.Live())
}

func TestRemoveWithoutAnOutageIsImmediate(t *testing.T) {
	b := New()
	b.Put(entry("a", 1))
	require.True(t, b.Remove(time.Hour, "a"))
	require.Empty(t, b.Live())
	require.False(t, b.Remove(time.Hour, "a"))
	require.False(t, b.Remove(time.Hour, "never"))
}

func TestAvailableStoreGivesNoGrace(t *testing.T) {
	b := New()
	b.MarkAvailable(0)
	b.Put(entry("a", 1))
	require.True(t, b.Remove(time.Millisecond, "a"))
}

func TestNewestRunOwnsAnAddress(t *testing.T) {
	b := New()
	b.Put(entry("old", 9))
	fresh := restarted(entry("new", 1), 200)
	b.Put(fresh)
	require.Equal(t, []Entry{fresh}, b.Live(), "a new run under another ID replaces the old one")
	b.Put(entry("old", 10))
	require.Equal(t, []Entry{fresh}, b.Live())
	b.Remove(0, "new")
	require.Len(t, b.Live(), 1)
}

func TestRemovedEntriesAreDroppedAfterTheirRetention(t *testing.T) {
	b := New()
	b.Put(leaving(entry("a", 5)))
	b.Remove(0, "a")
	require.False(t, b.Expire(removedRetention-1))
	b.Put(entry("a", 4))
	require.Empty(t, b.Live(), "an older entry that arrives late")
	b.Expire(removedRetention)
	require.Empty(t, b.records)
}
