package membudget

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Readers of endless bodies hold all the memory they are granted, while readers of small
// bodies start and finish.
func TestSmallBodiesAreReadBesideEndlessOnes(t *testing.T) {
	const budget, small, piece = 1 << 20, 8 << 10, 1 << 10
	rapid.Check(t, func(t *rapid.T) {
		b := New(budget, small)
		endless := make([]int, rapid.IntRange(1, 256).Draw(t, "endless"))
		for range 100 {
			for i := range endless {
				for b.TryGrow(endless[i], piece) {
					endless[i] += piece
				}
			}
			require.LessOrEqual(t, b.Used(), budget)
			held := 0
			for held < small {
				require.True(t, b.TryGrow(held, piece), "after %d bytes", held)
				held += piece
			}
			b.Release(held)
			i := rapid.IntRange(0, len(endless)-1).Draw(t, "finished")
			b.Release(endless[i])
			endless[i] = 0
		}
		for _, held := range endless {
			b.Release(held)
		}
		require.Zero(t, b.Used())
	})
}

func TestOneReaderGetsHalfOfTheBudget(t *testing.T) {
	b, held := New(100, 10), 0
	for b.TryGrow(held, 1) {
		held++
	}
	require.Equal(t, 10+50, held)
	b.Release(held)
	require.Zero(t, b.Used())
}
