package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMoreImportantCallEvicts(t *testing.T) {
	g := NewGate(Config{SlotsMax: 1, QueueMax: 1})
	offer := func(id ID) (Verdict, []Release) {
		return g.Offer(0, Offer{ID: id, Priority: 5 * 1 << 24, Deadline: time.Second}, nil)
	}
	verdict, _ := offer(1)
	require.Equal(t, VerdictRun, verdict)
	verdict, _ = offer(2)
	require.Equal(t, VerdictQueued, verdict)
	verdict, _ = offer(3)
	require.Equal(t, VerdictShed, verdict)
	verdict, out := g.Offer(0, Offer{ID: 4, Priority: 1, Deadline: time.Second}, nil)
	require.Equal(t, VerdictQueued, verdict)
	require.Equal(t, []Release{{ID: 2, Verdict: VerdictShed}}, out)
	out = g.Done(0, 1, Result{Outcome: OutcomeAnswered}, nil)
	require.Equal(t, []Release{{ID: 4, Verdict: VerdictRun}}, out)
}
