package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func entry(id string, sequence int64) Entry {
	return Entry{ID: id, Service: "stock", Address: "10.0.0.1:80", Slots: 10, StartedMs: 100, Sequence: sequence}
}

func anyService(string) bool { return true }

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
			live := b.Live(anyService)
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
	b.MarkUnavailable(9 * time.Second)
	b.MarkAvailable(10 * time.Second)
	require.False(t, b.Replace(10*time.Second, nil), "both may be republished")
	require.Len(t, b.Live(anyService), 2)
	b.Put(entry("republished", 2))
	require.False(t, b.Expire(10*time.Second+republishGrace-1))
	require.True(t, b.Expire(10*time.Second+republishGrace))
	live := b.Live(anyService)
	require.Len(t, live, 1)
	require.Equal(t, "republished", live[0].ID)
}

// TestRemovedEntryIsReplacedOnlyByANewerOne checks that no entry from before the removal adds an
// endpoint again. The last one known may have been written again since, unless the store was restored
// from an older copy, which may hold it from before.
func TestRemovedEntryIsReplacedOnlyByANewerOne(t *testing.T) {
	tests := []struct {
		desc          string
		published     Entry
		live          int
		afterARestore int
	}{
		{"its last entry", entry("a", 5), 1, 0},
		{"an earlier entry", entry("a", 4), 0, 0},
		{"an earlier run", restarted(entry("a", 9), 50), 0, 0},
		{"a later entry of the same run", entry("a", 6), 1, 1},
		{"a later run", restarted(entry("a", 1), 200), 1, 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			for _, remove := range []func(b *Table){
				func(b *Table) { b.Put(entry("a", 5)); b.Remove(0, "a") },
				func(b *Table) { b.MergeRemoval(0, Removal{Entry: entry("a", 5)}) },
				func(b *Table) {
					b.Put(entry("a", 4))
					require.True(t, b.MergeRemoval(0, Removal{Entry: entry("a", 5)}))
				},
			} {
				b := New()
				remove(b)
				require.Equal(t, []Removal{{Entry: entry("a", 5)}}, b.Removed())
				require.Equal(t, test.live == 1, b.Put(test.published))
				require.Len(t, b.Live(anyService), test.live)

				restored := New()
				remove(restored)
				restored.MarkRestored(0)
				require.Equal(t, []Removal{{Entry: entry("a", 5), Final: true}}, restored.Removed())
				require.Equal(t, test.afterARestore == 1, restored.Put(test.published))
				require.Len(t, restored.Live(anyService), test.afterARestore)

				told := New()
				remove(told)
				require.False(t, told.MergeRemoval(0, Removal{Entry: entry("a", 5), Final: true}))
				require.Equal(t, test.afterARestore == 1, told.Put(test.published))
			}
		})
	}
}

// TestEndpointThatReturnsStaysLeaving checks that an entry that returns can't take back the start of leaving.
func TestEndpointThatReturnsStaysLeaving(t *testing.T) {
	b := New()
	b.Put(leaving(entry("a", 5)))
	b.Remove(0, "a")
	require.True(t, b.Put(entry("a", 5)))
	require.True(t, b.Live(anyService)[0].Leaving)
}

// storedEntries returns entries that are in the store.
func storedEntries(entries ...Entry) []StoredEntry {
	stored := make([]StoredEntry, 0, len(entries))
	for _, e := range entries {
		stored = append(stored, StoredEntry{Entry: e})
	}
	return stored
}

// TestStoredEntriesAreOfAllServices checks that what is passed on doesn't depend on the services that
// a configuration names, or on another entry at the same address, unless that one was refuted.
func TestStoredEntriesAreOfAllServices(t *testing.T) {
	b := New()
	b.Put(entry("own", 9))
	foreign := restarted(entry("foreign", 1), 200)
	b.Put(foreign)
	other := entry("other", 1)
	other.Service, other.Address = "nobody", "10.0.0.2:80"
	b.Put(other)
	stock := func(service string) bool { return service == "stock" }
	require.Equal(t, []Entry{foreign}, b.Live(stock))
	require.ElementsMatch(t, storedEntries(entry("own", 9), foreign, other), b.Stored())
	b.Put(entry("own", 10))
	b.Put(entry("own", 11))
	require.Equal(t, []Entry{entry("own", 11)}, b.Live(stock))
	require.ElementsMatch(t, storedEntries(entry("own", 11), other), b.Stored(), "the entry of no endpoint is left out")
}

func TestMergeRemovalKeepsANewerEntry(t *testing.T) {
	b := New()
	b.Put(entry("a", 6))
	require.False(t, b.MergeRemoval(0, Removal{Entry: entry("a", 5)}))
	require.Len(t, b.Live(anyService), 1)
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
	require.Len(t, b.Live(anyService), 1)
	require.True(t, b.Expire(11*time.Second+republishGrace))
	require.Empty(t, b.Live(anyService))
}

// TestShortOutageGivesNoGrace guards against a removal that comes into force late since the store was out of
// reach for a time in which no entry can lapse.
func TestShortOutageGivesNoGrace(t *testing.T) {
	tests := []struct {
		desc      string
		outage    time.Duration
		lapseTime time.Duration
		kept      bool
	}{
		{"shorter than entries take to lapse", 3*time.Second - 1, 3 * time.Second, false},
		{"as long as entries take to lapse", 3 * time.Second, 3 * time.Second, true},
		{"it isn't known how long they take", time.Millisecond, 0, true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			const lastContact = time.Minute
			b := New()
			b.SetLapseTime(test.lapseTime)
			b.Put(entry("a", 1))
			b.MarkUnavailable(lastContact)
			b.MarkUnavailable(lastContact + test.outage) // the first one counts
			available := lastContact + test.outage
			b.MarkAvailable(available)
			require.Equal(t, !test.kept, b.Remove(available+republishGrace-1, "a"))
			require.Equal(t, test.kept, b.Expire(available+republishGrace))
			require.Empty(t, b.Live(anyService))
		})
	}
}

// TestRemovalThatAnotherNodeReportsIsImmediate checks that the grace of this node doesn't delay what a node with the
// current state knows.
func TestRemovalThatAnotherNodeReportsIsImmediate(t *testing.T) {
	b := New()
	b.Put(entry("a", 1))
	b.Put(entry("b", 1))
	b.MarkUnavailable(0)
	b.MarkAvailable(time.Minute)
	require.False(t, b.Remove(time.Minute, "a"), "it may be republished")
	require.True(t, b.RemoveWithoutGrace(time.Minute, "a"))
	require.True(t, b.RemoveWithoutGrace(time.Minute, "b"))
	require.False(t, b.RemoveWithoutGrace(time.Minute, "b"))
	require.Empty(t, b.Live(anyService))
	require.False(t, b.Expire(time.Minute+republishGrace))
}

func TestRemoveWithoutAnOutageIsImmediate(t *testing.T) {
	b := New()
	b.Put(entry("a", 1))
	require.True(t, b.Remove(time.Hour, "a"))
	require.Empty(t, b.Live(anyService))
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
	require.Equal(t, []Entry{fresh}, b.Live(anyService), "a new run under another ID replaces the old one")
	b.Put(entry("old", 10))
	require.Equal(t, []Entry{fresh}, b.Live(anyService))
	b.Remove(0, "new")
	require.Len(t, b.Live(anyService), 1)
}

// TestLaterStartIsDisprovedByTheEarlierOne guards against an entry that is no endpoint's own and
// hides the endpoint at its address.
func TestLaterStartIsDisprovedByTheEarlierOne(t *testing.T) {
	foreign := restarted(entry("foreign", 1<<63-1), 1<<63-1)
	tests := []struct {
		desc    string
		entries []Entry
		want    string
	}{
		{"an entry of the earlier run was on its way", []Entry{foreign, entry("own", 10)}, "foreign"},
		{"the earlier run still publishes", []Entry{foreign, entry("own", 10), entry("own", 11)}, "own"},
		{"the same entry is read again", []Entry{foreign, entry("own", 9), entry("own", 9)}, "foreign"},
		{"both publish", []Entry{restarted(entry("foreign", 1), 200), entry("own", 10), entry("own", 11), restarted(entry("foreign", 2), 200)}, "foreign"},
		{"the earlier run begins to leave", []Entry{foreign, entry("own", 10), leaving(entry("own", 11))}, "own"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b := New()
			b.Put(entry("own", 9))
			for _, e := range test.entries {
				b.Put(e)
				_ = b.Live(anyService) // as after each change
			}
			live := b.Live(anyService)
			require.Len(t, live, 1)
			require.Equal(t, test.want, live[0].ID)
		})
	}
}

// TestHiddenEntryThatPublishesIsAChange checks that the list is made anew when it may differ.
func TestHiddenEntryThatPublishesIsAChange(t *testing.T) {
	b := New()
	b.Put(entry("own", 9))
	b.Put(restarted(entry("foreign", 1), 200))
	_ = b.Live(anyService)
	require.True(t, b.Put(entry("own", 10)))
	require.True(t, b.Put(entry("own", 11)))
	require.Equal(t, "own", b.Live(anyService)[0].ID)
	require.False(t, b.Put(entry("own", 12)))
}

func TestEntriesOfUnknownServicesAreLeftOut(t *testing.T) {
	b := New()
	b.Put(entry("own", 9))
	other := restarted(entry("foreign", 1), 200)
	other.Service = "nobody"
	b.Put(other)
	live := b.Live(func(service string) bool { return service == "stock" })
	require.Len(t, live, 1)
	require.Equal(t, "own", live[0].ID)
	require.Equal(t, "foreign", b.Live(anyService)[0].ID, "a later configuration may name its service")
}

func TestRemovedEntriesAreDroppedAfterTheirRetention(t *testing.T) {
	b := New()
	b.Put(leaving(entry("a", 5)))
	b.Remove(0, "a")
	require.False(t, b.Expire(removedRetention-1))
	b.Put(entry("a", 4))
	require.Empty(t, b.Live(anyService), "an older entry that arrives late")
	b.Expire(removedRetention)
	require.Empty(t, b.records)
}
