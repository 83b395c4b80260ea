package boundary

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenacart/galenacart/decision/priority"
)

func TestSheddingOneClassDoesNotShedAMoreImportantOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Boundary
		capacity := priority.Priority(rapid.Uint32Range(1<<24, 2<<24).Draw(t, "capacity"))
		now := time.Duration(0)
		for range 400 {
			now += time.Millisecond
			p := priority.Priority(rapid.Uint32Range(1<<24, 2<<24-1).Draw(t, "priority"))
			if p.HigherThan(capacity) {
				b.RecordRun(p)
			} else {
				b.RecordShed(now, p)
			}
		}
		require.GreaterOrEqual(t, b.Current(now), priority.Priority(1<<24))
	})
}

func TestBoundaryOpensWithoutFurtherShedding(t *testing.T) {
	var b Boundary
	require.Equal(t, priority.Lowest, b.Current(0))
	b.RecordShed(0, 1000)
	before := b.Current(0)
	for ms := range time.Duration(400) {
		after := b.Current(ms * time.Millisecond)
		require.GreaterOrEqual(t, after, before)
		before = after
	}
	require.Equal(t, priority.Lowest, b.Current(openTime))
}
