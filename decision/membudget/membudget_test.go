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

func TestWeightSetsTheShareOfASingleHolder(t *testing.T) {
	b, held := NewWeighted(90, 10, 8), 0
	for b.TryGrow(held, 1) {
		held++
	}
	require.Equal(t, 10+80, held)
	require.True(t, b.TryGrow(0, 10+8), "another holder gets its reserve and most of the remainder")
	require.False(t, b.TryGrow(18, 3))
}

func TestShrinkReturnsAPart(t *testing.T) {
	b := New(100, 10)
	require.True(t, b.TryGrow(0, 40))
	require.Equal(t, 30, b.Used())
	b.Shrink(40, 25)
	require.Equal(t, 5, b.Used())
	b.Shrink(15, 15)
	require.Zero(t, b.Used())
}
