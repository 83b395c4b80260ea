package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const span = 10 * time.Second

func TestServiceBudgetGrantsShare(t *testing.T) {
	b := &ServiceBudget{}
	for range 100 {
		b.RecordCall(0, span)
	}
	granted := 0
	for range 100 {
		if b.Spend(time.Second, span, Limit{Ratio: 0.1, Allowance: 2}) {
			granted++
		}
	}
	require.Equal(t, 12, granted)
	require.False(t, b.Spend(span-1, span, Limit{Ratio: 0.1, Allowance: 2}))
	require.True(t, b.Spend(2*span, span, Limit{Ratio: 0.1, Allowance: 2}), "the allowance is available again")
}

// TestServiceBudgetHoldsInEveryWindow simulates calls at varying rates and checks the
// limit in every window, wherever it starts: the ratio of the calls in it, in the preceding
// window or half a window earlier, plus the allowance.
func TestServiceBudgetHoldsInEveryWindow(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	b := &ServiceBudget{}
	var calls, extra []time.Duration
	for now := time.Duration(0); now < 2*time.Minute; now += time.Duration(random.IntN(20)) * time.Millisecond {
		if now%(30*time.Second) < 20*time.Second {
			b.RecordCall(now, span)
			calls = append(calls, now)
		}
		if b.Spend(now, span, Limit{Ratio: 0.1, Allowance: 3}) {
			extra = append(extra, now)
		}
	}
	count := func(list []time.Duration, from, to time.Duration) (n int) {
		for _, at := range list {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	for from := time.Duration(0); from < 2*time.Minute; from += 50 * time.Millisecond {
		most := max(count(calls, from-span, from), count(calls, from-span/2, from+span/2), count(calls, from, from+span))
		require.LessOrEqual(t, float64(count(extra, from, from+span)), 0.1*float64(most)+3, "from %v", from)
	}
}

// TestExtraAttemptsAtBothEdgesOfAWindow spends as much as possible late in one bucket and early
// in another, less than a window apart.
func TestExtraAttemptsAtBothEdgesOfAWindow(t *testing.T) {
	const interval = 20 * time.Millisecond
	b, granted := &ServiceBudget{}, 0
	limit := Limit{Ratio: 0.1, Allowance: 3}
	bursts := []time.Duration{2*span + 990*time.Millisecond, 3*span + 10*time.Millisecond}
	for now := time.Duration(0); now < 4*span; now += interval {
		b.RecordCall(now, span)
		for _, at := range bursts {
			for now <= at && at < now+interval && b.Spend(at, span, limit) {
				granted++
			}
		}
	}
	require.LessOrEqual(t, granted, int(limit.Ratio*float64(span/interval)+limit.Allowance))
}
