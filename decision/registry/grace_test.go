package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestKeep checks what a node makes of an endpoint that another one keeps although the store has no entry of it.
func TestKeep(t *testing.T) {
	const now = time.Minute
	tests := []struct {
		desc        string
		know        func(b *Table)
		kept        Entry
		want        bool // it is used
		wantUnaided bool // it is used after the grace
	}{
		{"unknown", func(*Table) {}, entry("a", 5), true, false},
		{"known as it is", func(b *Table) { b.Put(entry("a", 5)) }, entry("a", 5), true, false},
		{"known by an earlier entry", func(b *Table) { b.Put(entry("a", 4)) }, entry("a", 5), true, false},
		{"known by a later entry", func(b *Table) { b.Put(entry("a", 6)) }, entry("a", 5), true, true},
		{"known by a later run", func(b *Table) { b.Put(restarted(entry("a", 1), 200)) }, entry("a", 5), true, true},
		{"removed after that entry", func(b *Table) { b.Put(entry("a", 5)); b.Remove(0, "a") }, entry("a", 5), false, false},
		{"removed after an earlier entry", func(b *Table) { b.Put(entry("a", 4)); b.Remove(0, "a") }, entry("a", 5), true, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b := New()
			test.know(b)
			b.Keep(now, test.kept)
			require.Equal(t, test.want, len(b.Live(anyService)) == 1)
			b.Expire(now + republishGrace - 1)
			require.Equal(t, test.want, len(b.Live(anyService)) == 1, "it may be republished")
			b.Expire(now + republishGrace)
			require.Equal(t, test.wantUnaided, len(b.Live(anyService)) == 1)
		})
	}
}

// TestKeptEntryStaysLeaving checks that a kept endpoint is not used again that was known to be leaving.
func TestKeptEntryStaysLeaving(t *testing.T) {
	b := New()
	leaving := entry("a", 4)
	leaving.Leaving = true
	b.Put(leaving)
	b.Keep(time.Minute, entry("a", 5))
	require.True(t, b.Live(anyService)[0].Leaving)
}

// TestRepeatedKeepDoesNotProlongTheGrace checks that two nodes which keep an endpoint don't keep it for each other.
func TestRepeatedKeepDoesNotProlongTheGrace(t *testing.T) {
	b := New()
	b.Put(entry("a", 5))
	require.True(t, b.Keep(time.Minute, entry("a", 5)))
	require.False(t, b.Keep(time.Minute+time.Second, entry("a", 5)))
	require.Equal(t, []StoredEntry{{Entry: entry("a", 5), Kept: true}}, b.Stored())
	require.True(t, b.Expire(time.Minute+republishGrace))
	require.False(t, b.Keep(time.Minute+republishGrace, entry("a", 5)))
}
