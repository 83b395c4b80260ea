package priority

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestClassOrdersBeforeHash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		high := Rank(rapid.IntRange(0, 254).Draw(t, "rank"))
		a := New(high, rapid.Uint64().Draw(t, "hash a"))
		b := New(high+1, rapid.Uint64().Draw(t, "hash b"))
		require.True(t, a.HigherThan(b))
		require.Equal(t, high, a.Rank())
		require.False(t, LowestOf(high).HigherThan(a))
	})
}
