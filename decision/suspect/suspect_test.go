package suspect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestBystandersAreCleared(t *testing.T) {
	table := NewTable()
	const culprit, bystander = 1, 2
	attributed := table.RecordCrash(0, []uint64{culprit, bystander}, nil)
	require.Equal(t, []uint64{culprit, bystander}, attributed)
	require.Equal(t, VerdictExclusive, table.Decide(0, bystander, 0))

	table.RecordCompletion(0, bystander, 1)
	table.Merge(0, bystander, 1)
	require.Equal(t, VerdictAllow, table.Decide(0, bystander, 1), "the report of the same loss arrives late")
	table.RecordCompletion(0, bystander, 2)
	require.Equal(t, VerdictRefuse, table.Decide(0, bystander, 2))

	attributed = table.RecordCrash(0, []uint64{culprit, 3, 4}, []uint64{culprit})
	require.Equal(t, []uint64{culprit}, attributed)
	require.Equal(t, VerdictRefuse, table.Decide(0, culprit, 0))
	require.Equal(t, VerdictAllow, table.Decide(0, 3, 0))
}

func TestEntriesExpire(t *testing.T) {
	table := NewTable()
	table.Merge(0, 1, 2)
	require.Equal(t, VerdictRefuse, table.Decide(lifetime-1, 1, 0))
	require.Equal(t, VerdictAllow, table.Decide(lifetime, 1, 0))
	table.Merge(lifetime, 1, 1)
	require.Equal(t, VerdictExclusive, table.Decide(lifetime, 1, 0))
}

// One culprit is sent repeatedly through nodes that exchange their losses.
func TestCulpritCrashesAtMostTwoEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const culprit = 7
		nodes := rapid.IntRange(1, 6).Draw(t, "nodes")
		tables := make([]*Table, nodes)
		for i := range tables {
			tables[i] = NewTable()
		}
		lost := 0
		for range 50 {
			at := rapid.IntRange(0, nodes-1).Draw(t, "node")
			verdict := tables[at].Decide(time.Second, culprit, 0)
			if verdict == VerdictRefuse {
				continue
			}
			lost++
			running := []uint64{culprit, rapid.Uint64Min(100).Draw(t, "bystander")}
			var suspects []uint64
			if verdict == VerdictExclusive {
				suspects = []uint64{culprit}
			}
			for _, fingerprint := range tables[at].RecordCrash(time.Second, running, suspects) {
				for _, other := range tables {
					other.Merge(time.Second, fingerprint, tables[at].Losses(time.Second, fingerprint))
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
	require.True(t, g.Grant(lifetime-1, c, ID{3}), "the holder asks again, as the answer was lost")
	require.False(t, g.Grant(lifetime-1, c, ID{4}))
	require.True(t, g.Grant(0, Call{Root: ID{1}, Fingerprint: 5}, ID{4}))
}

func TestTablesAreBounded(t *testing.T) {
	g := NewGrants()
	for i := range uint64(entriesMax) {
		require.True(t, g.Grant(0, Call{Fingerprint: i}, ID{}))
	}
	require.False(t, g.Grant(0, Call{Fingerprint: entriesMax}, ID{}))
	require.True(t, g.Grant(lifetime, Call{Fingerprint: entriesMax}, ID{}))
	table := NewTable()
	for i := range uint64(2 * entriesMax) {
		table.Merge(0, i, 1)
	}
	require.Len(t, table.entries, entriesMax)
	table.Merge(lifetime, 1<<40, 1)
	require.Len(t, table.entries, 1)
}
