package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// chain runs one call of a random chain in which attempts fail at random, and
// returns the number of extra attempts that it caused.
func chain(t *rapid.T, p *RequestBudget, depth, fanOut int) int {
	if depth == 0 {
		return 0
	}
	extra := 0
	for range fanOut {
		for {
			handed := p.Split()
			child := NewRequestBudget(handed)
			extra += chain(t, child, depth-1, fanOut)
			lost := rapid.IntRange(0, 9).Draw(t, "lost") == 0
			if !lost {
				p.Reclaim(handed, child.Remaining())
			}
			failed := lost || rapid.IntRange(0, 2).Draw(t, "failed") == 0
			if !failed || !p.Spend() {
				break
			}
			extra++
		}
	}
	return extra
}

func TestExtraAttemptsStayWithinTheBudget(t *testing.T) {
	shapes := []struct {
		desc          string
		depth, fanOut int
	}{
		{desc: "a chain 12 deep", depth: 12, fanOut: 1},
		{desc: "three calls at each of four levels", depth: 4, fanOut: 3},
		{desc: "two calls at each of six levels", depth: 6, fanOut: 2},
	}
	for _, shape := range shapes {
		t.Run(shape.desc, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				budget := rapid.IntRange(0, 8).Draw(t, "budget")
				extra := chain(t, NewRequestBudget(budget), shape.depth, shape.fanOut)
				require.LessOrEqual(t, extra, budget)
			})
		})
	}
}

func TestAnswersCannotCreateTokens(t *testing.T) {
	p := NewRequestBudget(4)
	handed := p.Split()
	require.Equal(t, 2, handed)
	p.Reclaim(handed, 100)
	require.Equal(t, 4, p.Remaining())
	p.Reclaim(p.Split(), -5)
	require.Equal(t, 2, p.Remaining())
}

func TestBrakeUnderTotalFailure(t *testing.T) {
	const first = 1000
	b := NewThrottle()
	extra := 0
	for range first {
		if b.Spend() {
			extra++
		}
	}
	require.LessOrEqual(t, extra, first/10)
}

func TestBrakeFollowsSuccesses(t *testing.T) {
	b := NewThrottle()
	for b.Spend() {
		continue
	}
	for range 9 {
		b.RecordSuccess(10)
	}
	require.False(t, b.Spend())
	b.RecordSuccess(10)
	require.True(t, b.Spend())
	for range 10_000 {
		b.RecordSuccess(10)
	}
	saved := 0
	for b.Spend() {
		saved++
	}
	require.Equal(t, creditMaxAttempts, saved)
}

func TestNext(t *testing.T) {
	tests := []struct {
		desc       string
		fate       Outcome
		idempotent bool
		want       Step
	}{
		{desc: "nothing sent", fate: OutcomeNotSent, want: StepRetryFree},
		{desc: "node leaving", fate: OutcomeNotServing, want: StepRetryFree},
		{desc: "shed by the node", fate: OutcomeShed, want: StepRetryCharged},
		{desc: "refused before start", fate: OutcomeRefused, want: StepRetryCharged},
		{desc: "booking with unknown fate", fate: OutcomeUnknown, want: StepStop},
		{desc: "booking that ran", fate: OutcomeExecuted, want: StepStop},
		{desc: "lookup with unknown fate", fate: OutcomeUnknown, idempotent: true, want: StepRetryCharged},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			require.Equal(t, test.want, Next(test.fate, test.idempotent))
		})
	}
}
