package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// spendAll spends what a budget grants at one moment and returns how much that was.
func spendAll(b *ServiceBudget, now time.Duration, limit Limit) (granted int) {
	for b.Spend(now, span, limit) {
		granted++
	}
	return granted
}

// All nodes of a fleet are killed once or several times within a window, right after each
// process has spent what it may.
func TestRestartsDoNotRenewTheBudget(t *testing.T) {
	const nodes, perSecond = 14, 30
	fleet := FleetBudget{Ratio: 0.2, Allowance: 50, Window: span}
	allowed := fleet.Ratio*float64(nodes*perSecond)*span.Seconds() + fleet.Allowance
	for _, lifetimes := range [][]time.Duration{
		{2 * span, span - time.Second},
		{2 * span, span / 2, span/2 - time.Second},
		{2 * span, span / 3, span / 3, span/3 - time.Second},
	} {
		granted := 0
		for _, lifetime := range lifetimes {
			b := &ServiceBudget{}
			for now := time.Duration(0); now < lifetime; now += time.Second / perSecond {
				b.RecordCall(now, span)
			}
			granted += nodes * spendAll(b, lifetime, fleet.NodeLimit(lifetime, nodes, 0))
		}
		require.LessOrEqual(t, float64(granted), (ownShare+restartShare)*allowed, "lifetimes %v", lifetimes)
	}
}
