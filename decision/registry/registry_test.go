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

func reborn(e Entry, born int64) Entry {
	e.StartedMs = born
	return e
}

func TestNewestWordStands(t *testing.T) {
	tests := []struct {
		desc    string
		entries []Entry
		leaving bool
		live    int
	}{
		{"ready", []Entry{entry("a", 1)}, false, 1},
		{"ready, then leaving", []Entry{entry("a", 1), leaving(entry("a", 2))}, true, 1},
		{"an older word comes late", []Entry{leaving(entry("a", 5)), entry("a", 4)}, true, 1},
		{"no way back under the same run", []Entry{leaving(entry("a", 5)), entry("a", 6)}, true, 1},
		{"a new run under the same name", []Entry{leaving(entry("a", 5)), reborn(entry("a", 1), 200)}, false, 1},
		{"an old run after a new one", []Entry{reborn(entry("a", 1), 200), leaving(entry("a", 9))}, false, 1},
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

func TestBeatsChangeNothing(t *testing.T) {
	b := New()
	require.True(t, b.Put(entry("a", 1)))
	require.False(t, b.Put(entry("a", 2)))
	require.True(t, b.Put(leaving(entry("a", 3))))
}

func TestEntriesThatLapsedWhileTheStoreWasAway(t *testing.T) {
	b := New()
	b.Put(entry("back", 1))
	b.Put(entry("gone", 1))
	b.MarkUnavailable()
	b.MarkAvailable(10 * time.Second)
	require.False(t, b.Replace(10*time.Second, nil), "both may come back")
	require.Len(t, b.Live(), 2)
	b.Put(entry("back", 2))
	require.False(t, b.Expire(10*time.Second+returnGrace-1))
	require.True(t, b.Expire(10*time.Second+returnGrace))
	live := b.Live()
	require.Len(t, live, 1)
	require.Equal(t, "back", live[0].ID)
}

func TestWhatIsGoneComesBackByANewerWordOnly(t *testing.T) {
	tests := []struct {
		desc string
		word Entry
		live int
	}{
		{"its last word, out of an older copy", entry("a", 5), 0},
		{"an earlier one", entry("a", 4), 0},
		{"an earlier run", reborn(entry("a", 9), 50), 0},
		{"a later word of the same run", entry("a", 6), 1},
		{"a later run", reborn(entry("a", 1), 200), 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			for _, learn := range []func(b *Table){
				func(b *Table) { b.Put(entry("a", 5)); b.Remove(0, "a") },
				func(b *Table) { b.MergeRemoved(0, entry("a", 5)) },
				func(b *Table) { b.Put(entry("a", 4)); require.True(t, b.MergeRemoved(0, entry("a", 5))) },
			} {
				b := New()
				learn(b)
				require.Len(t, b.Removed(), 1)
				require.Equal(t, test.live == 1, b.Put(test.word))
				require.Len(t, b.Live(), test.live)
			}
		})
	}
}

func TestNewerWordStandsAgainstABurial(t *testing.T) {
	b := New()
	b.Put(entry("a", 6))
	require.False(t, b.MergeRemoved(0, entry("a", 5)))
	require.Len(t, b.Live(), 1)
	require.Empty(t, b.Removed())
}

// TestRestoreCountsLikeAnOutage holds that entries which an older copy lacks get the
// time of lapsed ones, anew with each restore.
func TestRestoreCountsLikeAnOutage(t *testing.T) {
	b := New()
	b.Put(entry("a", 1))
	b.MarkRestored(10 * time.Second)
	require.False(t, b.Replace(10*time.Second, nil))
	b.Put(entry("b", 1))
	b.MarkRestored(11 * time.Second)
	require.False(t, b.Replace(11*time.Second, nil))
	require.True(t, b.Expire(10*time.Second+returnGrace), "the first is over its time")
	require.Len(t, b.Live(), 1)
	require.True(t, b.Expire(11*time.Second+returnGrace))
	require.Empty(t, b.Live())
}

func TestWithoutAnOutageWhatIsRemovedIsGone(t *testing.T) {
	b := New()
	b.Put(entry("a", 1))
	require.True(t, b.Remove(time.Hour, "a"))
	require.Empty(t, b.Live())
	require.False(t, b.Remove(time.Hour, "a"))
	require.False(t, b.Remove(time.Hour, "never"))
}

func TestStoreThatDoesNotFailGivesNoGrace(t *testing.T) {
	b := New()
	b.MarkAvailable(0)
	b.Put(entry("a", 1))
	require.True(t, b.Remove(time.Millisecond, "a"))
}

func TestNewestRunHoldsAnAddress(t *testing.T) {
	b := New()
	b.Put(entry("old", 9))
	fresh := reborn(entry("new", 1), 200)
	b.Put(fresh)
	require.Equal(t, []Entry{fresh}, b.Live(), "a new run under another name ends the old one")
	b.Put(entry("old", 10))
	require.Equal(t, []Entry{fresh}, b.Live())
	b.Remove(0, "new")
	require.Len(t, b.Live(), 1)
}

func TestEntriesLongGoneAreForgotten(t *testing.T) {
	b := New()
	b.Put(leaving(entry("a", 5)))
	b.Remove(0, "a")
	require.False(t, b.Expire(forgetAfter-1))
	b.Put(entry("a", 4))
	require.Empty(t, b.Live(), "an older word that comes late")
	b.Expire(forgetAfter)
	require.Empty(t, b.records)
}
