package slotqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	ms  = time.Millisecond
	far = time.Hour
)

func TestOffer(t *testing.T) {
	tests := []struct {
		desc    string
		running int
		waiting int
		call    Call
		want    Decision
	}{
		{"a free slot", 0, 0, Call{Deadline: far}, Run},
		{"all slots taken", 19, 0, Call{Deadline: far}, Wait},
		{"no more waits than two turns", 19, 40, Call{Deadline: far}, Refuse},
		{"no time for half of the usual work", 0, 0, Call{Deadline: 40 * ms, EstimatedDuration: 100 * ms}, Refuse},
		{"no time for the wait and the work", 19, 38, Call{Deadline: 250 * ms, EstimatedDuration: 100 * ms}, Refuse},
		{"time for the wait and the work", 19, 0, Call{Deadline: 250 * ms, EstimatedDuration: 100 * ms}, Wait},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			g := New(20)
			g.took = 100 * ms
			for i := range test.running + test.waiting {
				require.NotEqual(t, Refuse, g.Offer(0, Call{ID: uint64(i), Deadline: far}))
			}
			require.Equal(t, test.want, g.Offer(0, test.call))
		})
	}
}

func TestMoreImportantCallsGoFirst(t *testing.T) {
	g := New(1)
	require.Equal(t, Run, g.Offer(0, Call{ID: 1, Deadline: far}))
	require.Equal(t, Wait, g.Offer(0, Call{ID: 2, Rank: 2, Deadline: far}))
	require.Equal(t, Wait, g.Offer(0, Call{ID: 3, Rank: 0, Deadline: far}))
	require.Equal(t, []Dequeued{{ID: 3, Decision: Run}}, g.Finish(0, ms, nil))
	require.Equal(t, []Dequeued{{ID: 2, Decision: Run}}, g.Finish(0, ms, nil))
}

func TestLateCallsAreRefusedWhenTheirTurnComes(t *testing.T) {
	g := New(1)
	g.Offer(0, Call{ID: 1, Deadline: far})
	g.Offer(0, Call{ID: 2, Deadline: 100 * ms, EstimatedDuration: 50 * ms})
	g.Offer(0, Call{ID: 3, Deadline: far})
	require.Equal(t, []Dequeued{{ID: 2, Decision: Refuse}, {ID: 3, Decision: Run}}, g.Finish(90*ms, ms, nil))
}

// TestOracle holds against a plain count that slots are never exceeded, no call
// is lost or released twice, and none waits beside a free slot.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := New(rapid.IntRange(1, 10).Draw(t, "slots"))
		running, waiting := map[uint64]bool{}, map[uint64]bool{}
		next := uint64(0)
		release := func(out []Dequeued) {
			for _, r := range out {
				require.True(t, waiting[r.ID])
				delete(waiting, r.ID)
				if r.Decision == Run {
					running[r.ID] = true
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				next++
				switch g.Offer(0, Call{ID: next, Rank: rapid.Uint8Range(0, 3).Draw(t, "rank"), Deadline: far}) {
				case Run:
					running[next] = true
				case Wait:
					waiting[next] = true
				}
			},
			"done": func(*rapid.T) {
				for id := range running {
					delete(running, id)
					release(g.Finish(0, ms, nil))
					return
				}
			},
			"cancel": func(t *rapid.T) {
				id := rapid.Uint64Range(0, next+1).Draw(t, "id")
				require.Equal(t, waiting[id], g.Cancel(id))
				delete(waiting, id)
			},
			"resize": func(t *rapid.T) {
				g.SetSlots(rapid.IntRange(1, 10).Draw(t, "slots"))
				release(g.Dispatch(0, nil))
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(running), g.Running())
				require.Equal(t, len(running)+len(waiting), g.Busy())
				if len(waiting) > 0 {
					require.GreaterOrEqual(t, len(running), g.Limit())
				}
			},
		})
	})
}

func BenchmarkOfferAndDone(b *testing.B) {
	g := New(15)
	var out []Dequeued
	b.ReportAllocs()
	for i := range b.N {
		if g.Offer(0, Call{ID: uint64(i), Deadline: far}) != Refuse && g.Busy() > 20 {
			out = g.Finish(0, ms, out[:0])
		}
	}
}
