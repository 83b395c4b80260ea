package platform

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestStaleShowsTheStateOfItsBeginning(t *testing.T) {
	b := newBench(t, nil)
	b.mustPut("catalogue", "one")
	b.mustSetMode(`{"mode":"stale"}`)
	b.mustPut("catalogue", "two")
	b.mustSetMode(`{"mode":"stale"}`) // goes on as it began
	require.Equal(t, "one", b.read("catalogue").value)
	require.EqualValues(t, 1, b.read("catalogue").revision)
	b.mustSetMode(`{"mode":"up"}`)
	require.Equal(t, "two", b.read("catalogue").value)
	require.EqualValues(t, 2, b.read("catalogue").revision)
}

func TestRollback(t *testing.T) {
	tests := []struct {
		desc        string
		mode        string
		after       string // value and revisions once the mode is up again and written once
		keyRevision uint64
	}{
		{desc: "for a while", mode: `{"mode":"rollback","revisions":2}`, after: "four", keyRevision: 4},
		{desc: "permanent", mode: `{"mode":"rollback","revisions":2,"permanent":true}`, after: "four", keyRevision: 2},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b := newBench(t, nil)
			for _, value := range []string{"one", "two", "three"} {
				b.mustPut("catalogue", value)
			}
			b.mustSetMode(test.mode)
			got := b.read("catalogue")
			require.Equal(t, "one", got.value)
			require.EqualValues(t, 1, got.revision)
			require.EqualValues(t, 1, got.keyRevision)
			b.mustPut("catalogue", "four")
			b.mustSetMode(`{"mode":"up"}`)
			got = b.read("catalogue")
			require.Equal(t, test.after, got.value)
			require.Equal(t, test.keyRevision, got.keyRevision)
			require.Equal(t, test.keyRevision, got.revision)
		})
	}
}

func TestVMListShowsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, func(s *Settings) { s.VMListLagMs = 3000 })
		b.mustPut("catalogue", "one")
		require.Equal(t, 200, b.read("catalogue").status)
		b.mustPut(VMListKey, "first")
		time.Sleep(time.Second)
		b.mustPut(VMListKey, "second")
		time.Sleep(1999 * time.Millisecond)
		require.Equal(t, 404, b.read(VMListKey).status)
		time.Sleep(time.Millisecond)
		synctest.Wait()
		require.Equal(t, "first", b.read(VMListKey).value)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, "second", b.read(VMListKey).value)
		require.EqualValues(t, 3, b.read(VMListKey).keyRevision)

		require.Equal(t, 204, b.admin("PUT", "/admin/lag", `{"vmListLagMs":0}`))
		b.mustPut(VMListKey, "third")
		require.Equal(t, "third", b.read(VMListKey).value)
	})
}

func TestOlderVMListNeverOvertakesANewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, func(s *Settings) { s.VMListLagMs = 60000 })
		b.mustPut(VMListKey, "older")
		b.SetVMListLag(0)
		b.mustPut(VMListKey, "newer")
		require.Equal(t, "newer", b.read(VMListKey).value)
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		require.Equal(t, reply{status: 200, value: "newer", revision: 1, keyRevision: 1}, b.read(VMListKey))
	})
}

// oracle is a store that remembers every write.
type oracle struct {
	writes []string // values of the one key, by revision from 1
	mode   Mode
	shown  int // number of writes shown
}

func (o *oracle) view() (string, uint64) {
	shown := len(o.writes)
	if o.mode == ModeStale || o.mode == ModeRollback {
		shown = o.shown
	}
	if shown == 0 {
		return "", 0
	}
	return o.writes[shown-1], uint64(shown)
}

func (o *oracle) rollback(n int, permanent bool) {
	o.shown = len(o.writes) - n
	o.mode = ModeRollback
	if permanent {
		o.writes = o.writes[:o.shown]
		o.mode = ModeUp
	}
}

func TestStoreAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, o := NewStore(1, 1000), &oracle{mode: ModeUp}
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
					o.shown = len(o.writes)
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
