package suspect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestInnocentNeighboursAreCleared(t *testing.T) {
	b := NewTable()
	const culprit, neighbour = 1, 2
	blamed := b.RecordCrash(0, []uint64{culprit, neighbour}, nil)
	require.Equal(t, []uint64{culprit, neighbour}, blamed)
	require.Equal(t, VerdictExclusive, b.Decide(0, neighbour, 0))

	b.RecordCompletion(0, neighbour, 1)
	b.Merge(0, neighbour, 1)
	require.Equal(t, VerdictAllow, b.Decide(0, neighbour, 1), "the news of the same loss comes late")
	b.RecordCompletion(0, neighbour, 2)
	require.Equal(t, VerdictRefuse, b.Decide(0, neighbour, 2))

	blamed = b.RecordCrash(0, []uint64{culprit, 3, 4}, []uint64{culprit})
	require.Equal(t, []uint64{culprit}, blamed)
	require.Equal(t, VerdictRefuse, b.Decide(0, culprit, 0))
	require.Equal(t, VerdictAllow, b.Decide(0, 3, 0))
}

func TestKnowledgeExpires(t *testing.T) {
	b := NewTable()
	b.Merge(0, 1, 2)
	require.Equal(t, VerdictRefuse, b.Decide(lifetime-1, 1, 0))
	require.Equal(t, VerdictAllow, b.Decide(lifetime, 1, 0))
	b.Merge(lifetime, 1, 1)
	require.Equal(t, VerdictExclusive, b.Decide(lifetime, 1, 0))
}

// One culprit is sent again and again through nodes that share what they know.
func TestCulpritBreaksAtMostTwoEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const culprit = 7
		nodes := rapid.IntRange(1, 6).Draw(t, "nodes")
		books := make([]*Table, nodes)
		for i := range books {
			books[i] = NewTable()
		}
		lost := 0
		for range 50 {
			at := rapid.IntRange(0, nodes-1).Draw(t, "node")
			verdict := books[at].Decide(time.Second, culprit, 0)
			if verdict == VerdictRefuse {
				continue
			}
			lost++
			running := []uint64{culprit, rapid.Uint64Min(100).Draw(t, "neighbour")}
			var suspects []uint64
			if verdict == VerdictExclusive {
				suspects = []uint64{culprit}
			}
			for _, fingerprint := range books[at].RecordCrash(time.Second, running, suspects) {
				for _, other := range books {
					other.Merge(time.Second, fingerprint, books[at].Losses(time.Second, fingerprint))
				}
			}
		}
		require.LessOrEqual(t, lost, 2)
	})
}

func TestOneFurtherRunIsGranted(t *testing.T) {
	g := NewGrants()
	c := Call{Root: ID{1}, Fingerprint: 2}
	require.True(t, g.Grant(0, c, ID{3}))
	require.True(t, g.Grant(lifetime-1, c, ID{3}), "the answer was lost")
	require.False(t, g.Grant(lifetime-1, c, ID{4}))
	require.True(t, g.Grant(0, Call{Root: ID{1}, Fingerprint: 5}, ID{4}))
}

func TestMemoryIsBounded(t *testing.T) {
	g := NewGrants()
	for i := range uint64(entriesMax) {
		require.True(t, g.Grant(0, Call{Fingerprint: i}, ID{}))
	}
	require.False(t, g.Grant(0, Call{Fingerprint: entriesMax}, ID{}))
	require.True(t, g.Grant(lifetime, Call{Fingerprint: entriesMax}, ID{}))
	b := NewTable()
	for i := range uint64(2 * entriesMax) {
		b.Merge(0, i, 1)
	}
	require.Len(t, b.entries, entriesMax)
	b.Merge(lifetime, 1<<40, 1)
	require.Len(t, b.entries, 1)
}
