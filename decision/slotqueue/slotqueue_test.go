package slotqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenacart/galenacart/decision/draining"
)

const (
	ms              = time.Millisecond
	distantDeadline = time.Hour
)

func TestOffer(t *testing.T) {
	tests := []struct {
		desc    string
		running int
		waiting int
		call    Call
		want    Decision
	}{
		{"a free slot", 0, 0, Call{Deadline: distantDeadline}, Run},
		{"all slots in use", 19, 0, Call{Deadline: distantDeadline}, Wait},
		{"queue full at two calls per slot", 19, 40, Call{Deadline: distantDeadline}, Refuse},
		{"remaining time below half of the estimated duration", 0, 0, Call{Deadline: 40 * ms, EstimatedDuration: 100 * ms}, Refuse},
		{"remaining time below wait and estimated duration", 19, 38, Call{Deadline: 250 * ms, EstimatedDuration: 100 * ms}, Refuse},
		{"remaining time above wait and estimated duration", 19, 0, Call{Deadline: 250 * ms, EstimatedDuration: 100 * ms}, Wait},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			q := New(20)
			q.holdTime = 100 * ms
			for i := range test.running + test.waiting {
				require.NotEqual(t, Refuse, q.Offer(0, Call{ID: uint64(i), Deadline: distantDeadline}))
			}
			require.Equal(t, test.want, q.Offer(0, test.call))
		})
	}
}

func TestMoreImportantCallsGoFirst(t *testing.T) {
	q := New(1)
	require.Equal(t, Run, q.Offer(0, Call{ID: 1, Deadline: distantDeadline}))
	require.Equal(t, Wait, q.Offer(0, Call{ID: 2, Rank: 2, Deadline: distantDeadline}))
	require.Equal(t, Wait, q.Offer(0, Call{ID: 3, Rank: 0, Deadline: distantDeadline}))
	require.Equal(t, []Dequeued{{ID: 3, Decision: Run}}, q.Finish(0, ms, nil))
	require.Equal(t, []Dequeued{{ID: 2, Decision: Run}}, q.Finish(0, ms, nil))
}

func TestLateCallsAreRefusedAtDispatch(t *testing.T) {
	q := New(1)
	q.Offer(0, Call{ID: 1, Deadline: distantDeadline})
	q.Offer(0, Call{ID: 2, Deadline: 100 * ms, EstimatedDuration: 50 * ms})
	q.Offer(0, Call{ID: 3, Deadline: distantDeadline})
	require.Equal(t, []Dequeued{{ID: 2, Decision: Refuse}, {ID: 3, Decision: Run}}, q.Finish(90*ms, ms, nil))
}

// TestQueueMatchesModel checks against sets of running and waiting calls that slots are
// never exceeded, no call is lost or dispatched twice, and none waits while a slot is
// free.
func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(rapid.IntRange(1, 10).Draw(t, "slots"))
		running, waiting := map[uint64]bool{}, map[uint64]bool{}
		next := uint64(0)
		apply := func(out []Dequeued) {
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
				switch q.Offer(0, Call{ID: next, Rank: rapid.Uint8Range(0, 3).Draw(t, "rank"), Deadline: distantDeadline}) {
				case Run:
					running[next] = true
				case Wait:
					waiting[next] = true
				}
			},
			"done": func(*rapid.T) {
				for id := range running {
					delete(running, id)
					apply(q.Finish(0, ms, nil))
					return
				}
			},
			"cancel": func(t *rapid.T) {
				id := rapid.Uint64Range(0, next+1).Draw(t, "id")
				require.Equal(t, waiting[id], q.Cancel(id))
				delete(waiting, id)
			},
			"leave": func(t *rapid.T) {
				w := draining.Closing(0, time.Duration(rapid.IntRange(0, 20).Draw(t, "drain"))*ms)
				for _, r := range q.Leave(0, w, nil) {
					require.Equal(t, Leave, r.Decision)
					require.True(t, waiting[r.ID])
					delete(waiting, r.ID)
				}
			},
			"resize": func(t *rapid.T) {
				q.SetSlots(rapid.IntRange(1, 10).Draw(t, "slots"))
				apply(q.Dispatch(0, nil))
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(running), q.Running())
				require.Equal(t, len(running)+len(waiting), q.Busy())
				if len(waiting) > 0 {
					require.GreaterOrEqual(t, len(running), q.Limit())
				}
			},
		})
	})
}

// TestLeaveReturnsWhatCannotCompleteInTime has 2 slots, calls of 100 ms and a drain of 300 ms: the
// most important calls still run there, and the others go back at once.
func TestLeaveReturnsWhatCannotCompleteInTime(t *testing.T) {
	const hold = 100 * ms
	q := New(3)
	q.holdTime = hold
	require.Equal(t, 2, q.Limit())
	for id := range uint64(2) {
		require.Equal(t, Run, q.Offer(0, Call{ID: id, Deadline: distantDeadline}))
	}
	for id, rank := range map[uint64]uint8{10: 0, 11: 0, 12: 1, 13: 1, 14: 2, 15: 2} {
		require.Equal(t, Wait, q.Offer(0, Call{ID: id, Rank: rank, Deadline: distantDeadline, EstimatedDuration: hold, TypicalDuration: hold}))
	}
	returned := q.Leave(0, draining.Closing(0, 3*hold), nil)
	require.ElementsMatch(t, []Dequeued{{14, Leave}, {15, Leave}}, returned)
	require.Empty(t, q.Leave(0, draining.Window{}, nil), "an endpoint that stays keeps its queue")
	require.Len(t, q.Leave(0, draining.Closed(), nil), 4)
	require.Equal(t, 2, q.Busy())
}

func BenchmarkOfferAndFinish(b *testing.B) {
	q := New(15)
	var out []Dequeued
	b.ReportAllocs()
	for i := range b.N {
		if q.Offer(0, Call{ID: uint64(i), Deadline: distantDeadline}) != Refuse && q.Busy() > 20 {
			out = q.Finish(0, ms, out[:0])
		}
	}
}
