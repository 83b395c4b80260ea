package platform

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestStaleModePublishesInitialState(t *testing.T) {
	p := newTestPlatform(t, nil)
	p.mustPut("catalogue", "one")
	p.mustSetMode(`{"mode":"stale"}`)
	p.mustPut("catalogue", "two")
	p.mustSetMode(`{"mode":"stale"}`) // has no further effect
	require.Equal(t, "one", p.read("catalogue").value)
	require.EqualValues(t, 1, p.read("catalogue").revision)
	p.mustSetMode(`{"mode":"up"}`)
	require.Equal(t, "two", p.read("catalogue").value)
	require.EqualValues(t, 2, p.read("catalogue").revision)
}

func TestRollback(t *testing.T) {
	tests := []struct {
		desc        string
		mode        string
		wantValue   string // after another write and the return to mode up
		keyRevision uint64
	}{
		{desc: "temporary", mode: `{"mode":"rollback","revisions":2}`, wantValue: "four", keyRevision: 4},
		{desc: "permanent", mode: `{"mode":"rollback","revisions":2,"permanent":true}`, wantValue: "four", keyRevision: 2},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			p := newTestPlatform(t, nil)
			for _, value := range []string{"one", "two", "three"} {
				p.mustPut("catalogue", value)
			}
			p.mustSetMode(test.mode)
			got := p.read("catalogue")
			require.Equal(t, "one", got.value)
			require.EqualValues(t, 1, got.revision)
			require.EqualValues(t, 1, got.keyRevision)
			p.mustPut("catalogue", "four")
			p.mustSetMode(`{"mode":"up"}`)
			got = p.read("catalogue")
			require.Equal(t, test.wantValue, got.value)
			require.Equal(t, test.keyRevision, got.keyRevision)
			require.Equal(t, test.keyRevision, got.revision)
		})
	}
}

func TestVMListIsPublishedAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlatform(t, func(s *Settings) { s.VMListLagMs = 3000 })
		p.mustPut("catalogue", "one")
		require.Equal(t, 200, p.read("catalogue").status)
		p.mustPut(VMListKey, "first")
		time.Sleep(time.Second)
		p.mustPut(VMListKey, "second")
		time.Sleep(1999 * time.Millisecond)
		require.Equal(t, 404, p.read(VMListKey).status)
		time.Sleep(time.Millisecond)
		synctest.Wait()
		require.Equal(t, "first", p.read(VMListKey).value)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, "second", p.read(VMListKey).value)
		require.EqualValues(t, 3, p.read(VMListKey).keyRevision)

		require.Equal(t, 204, p.admin("PUT", "/admin/lag", `{"vmListLagMs":0}`))
		p.mustPut(VMListKey, "third")
		require.Equal(t, "third", p.read(VMListKey).value)
	})
}

func TestOlderVMListDoesNotReplaceNewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlatform(t, func(s *Settings) { s.VMListLagMs = 60000 })
		p.mustPut(VMListKey, "older")
		p.SetVMListLag(0)
		p.mustPut(VMListKey, "newer")
		require.Equal(t, "newer", p.read(VMListKey).value)
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		require.Equal(t, readResult{status: 200, value: "newer", revision: 1, keyRevision: 1}, p.read(VMListKey))
	})
}

// referenceStore is a simple model of Store with one key and unlimited history.
type referenceStore struct {
	writes    []string // values of the key, by revision from 1
	mode      Mode
	published int // number of published writes
}

func (o *referenceStore) view() (string, uint64) {
	published := len(o.writes)
	if o.mode == ModeStale || o.mode == ModeRollback {
		published = o.published
	}
	if published == 0 {
		return "", 0
	}
	return o.writes[published-1], uint64(published)
}

func (o *referenceStore) rollback(n int, permanent bool) {
	o.published = len(o.writes) - n
	o.mode = ModeRollback
	if permanent {
		o.writes = o.writes[:o.published]
		o.mode = ModeUp
	}
}

func TestStoreAgainstReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, o := NewStore(1, 1000), &referenceStore{mode: ModeUp}
		values := 0
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				values++
				value := fmt.Sprint(values)
				o.writes = append(o.writes, value)
				revision, err := s.Put("k", []byte(value))
				require.NoError(t, err)
				require.EqualValues(t, len(o.writes), revision)
			},
			"up": func(t *rapid.T) {
				o.mode = ModeUp
				require.NoError(t, s.SetMode(ModeChange{Mode: ModeUp}))
			},
			"stale": func(t *rapid.T) {
				if o.mode != ModeStale {
					o.published = len(o.writes)
				}
				o.mode = ModeStale
				require.NoError(t, s.SetMode(ModeChange{Mode: ModeStale}))
			},
			"rollback": func(t *rapid.T) {
				if len(o.writes) == 0 {
					t.Skip("nothing to roll back")
				}
				n := rapid.IntRange(1, len(o.writes)).Draw(t, "revisions")
				permanent := rapid.Bool().Draw(t, "permanent")
				o.rollback(n, permanent)
				require.NoError(t, s.SetMode(ModeChange{Mode: ModeRollback, Revisions: n, Permanent: permanent}))
			},
			"": func(t *rapid.T) {
				value, revision := o.view()
				view := s.View()
				e, _ := view.State.Get("k")
				require.Equal(t, value, string(e.Value))
				require.Equal(t, revision, e.Revision)
				require.Equal(t, revision, view.State.Revision)
			},
		})
	})
}

func TestHistoryIsBounded(t *testing.T) {
	s := NewStore(1, 3)
	for i := range 10 {
		_, err := s.Put("k", []byte(fmt.Sprint(i)))
		require.NoError(t, err)
	}
	require.Len(t, s.history, 4)
	require.Error(t, s.SetMode(ModeChange{Mode: ModeRollback, Revisions: 4}))
	require.NoError(t, s.SetMode(ModeChange{Mode: ModeRollback, Revisions: 3}))
	require.EqualValues(t, 7, s.View().State.Revision)
}
