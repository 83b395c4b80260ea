package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A catalogue that names the endpoint's true slots is the usual case. Nothing
// is to be learned then, and learning must cost next to nothing from the start.
func TestTrueCeilingCostsNothing(t *testing.T) {
	for _, d := range distributions {
		for _, slots := range []int{10, 70} {
			t.Run(fmt.Sprintf("%s %d", d.desc, slots), func(t *testing.T) {
				for seed := uint64(1); seed <= seeds; seed++ {
					e := newEndpoint(slots, serviceTime, d.draw, seed)
					l := NewLimiter(slots)
					e.run(l, time.Second)
					o := e.run(l, measureTime)
					require.GreaterOrEqual(t, o.throughput(e), throughputMin)
				}
			})
		}
	}
}

// Under a true ceiling the endpoint may still lose slots later.
func TestFindsLostSlotsUnderATrueCeiling(t *testing.T) {
	for seed := uint64(1); seed <= seeds; seed++ {
		e := newEndpoint(40, serviceTime, exponential, seed)
		l := NewLimiter(40)
		e.run(l, settleTime)
		e.slots = 15
		e.run(l, settleTime)
		o := e.run(l, measureTime)
		require.LessOrEqual(t, o.meanTook(), tookMax)
	}
}
