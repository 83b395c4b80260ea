package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// simulateChain runs one call of a call chain in which attempts fail at random, and
// returns the number of extra attempts.
func simulateChain(t *rapid.T, budget *RequestBudget, depth, fanOut int) int {
	if depth == 0 {
		return 0
	}
	extra := 0
	for range fanOut {
		for {
			sent := budget.Split()
			child := NewRequestBudget(sent)
			extra += simulateChain(t, child, depth-1, fanOut)
			lost := rapid.IntRange(0, 9).Draw(t, "lost") == 0
			if !lost {
				budget.Reclaim(sent, child.Remaining())
			}
			failed := lost || rapid.IntRange(0, 2).Draw(t, "failed") == 0
			if !failed || !budget.Spend() {
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
		{desc: "a call chain of depth 12", depth: 12, fanOut: 1},
		{desc: "three calls at each of four levels", depth: 4, fanOut: 3},
		{desc: "two calls at each of six levels", depth: 6, fanOut: 2},
	}
	for _, shape := range shapes {
		t.Run(shape.desc, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				tokens := rapid.IntRange(0, 8).Draw(t, "budget")
				extra := simulateChain(t, NewRequestBudget(tokens), shape.depth, shape.fanOut)
				require.LessOrEqual(t, extra, tokens)
			})
		})
	}
}

func TestAnswersCannotCreateTokens(t *testing.T) {
	budget := NewRequestBudget(4)
	sent := budget.Split()
	require.Equal(t, 2, sent)
	budget.Reclaim(sent, 100)
	require.Equal(t, 4, budget.Remaining())
	budget.Reclaim(budget.Split(), -5)
	require.Equal(t, 2, budget.Remaining())
}

func TestThrottleUnderTotalFailure(t *testing.T) {
	const first = 1000
	throttle := NewThrottle()
	extra := 0
	for range first {
		if throttle.Spend() {
			extra++
		}
	}
	require.LessOrEqual(t, extra, first/10)
}

func TestThrottleCreditFollowsSuccesses(t *testing.T) {
	throttle := NewThrottle()
	for throttle.Spend() {
		continue
	}
	for range 9 {
		throttle.RecordSuccess(10)
	}
	require.False(t, throttle.Spend())
	throttle.RecordSuccess(10)
	require.True(t, throttle.Spend())
	for range 10_000 {
		throttle.RecordSuccess(10)
	}
	saved := 0
	for throttle.Spend() {
		saved++
	}
	require.Equal(t, creditMaxAttempts, saved)
}

func TestNext(t *testing.T) {
	tests := []struct {
		desc       string
		outcome    Outcome
		idempotent bool
		want       Step
	}{
		{desc: "nothing sent", outcome: OutcomeNotSent, want: StepRetryFree},
		{desc: "node leaving", outcome: OutcomeNotServing, want: StepRetryFree},
		{desc: "shed by the node", outcome: OutcomeShed, want: StepRetryCharged},
		{desc: "refused before start", outcome: OutcomeRefused, want: StepRetryCharged},
		{desc: "booking with unknown outcome", outcome: OutcomeUnknown, want: StepStop},
		{desc: "booking that ran", outcome: OutcomeExecuted, want: StepStop},
		{desc: "lookup with unknown outcome", outcome: OutcomeUnknown, idempotent: true, want: StepRetryCharged},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			require.Equal(t, test.want, Next(test.outcome, test.idempotent))
		})
	}
}
