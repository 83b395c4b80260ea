package shedding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/priority"
)

func TestChainRefusesWhatIsShedBelow(t *testing.T) {
	c := NewChain()
	now := time.Second
	require.False(t, c.Refuse(now, "book", 50))
	c.Refused(now, "book", 50)
	c.Refused(now, "book", 90)
	require.Equal(t, priority.Priority(50), c.Threshold(now, "book"), "the most important refusal counts")
	require.False(t, c.Refuse(now, "book", 49))
	require.False(t, c.Refuse(now, "other", 60))
	require.False(t, c.Refuse(now, "book", 60), "the first one asks")
	require.True(t, c.Refuse(now+time.Millisecond, "book", 60))
}

func TestChainReopens(t *testing.T) {
	c := NewChain()
	c.Refused(0, "book", 50)
	c.Answered("book", 70)
	require.Equal(t, priority.Priority(71), c.Threshold(0, "book"))
	require.Equal(t, priority.Lowest, c.Threshold(Expiry, "book"))
	c.Refused(Expiry, "book", 80)
	require.Equal(t, priority.Priority(80), c.Threshold(Expiry, "book"), "an expired refusal counts no more")
}
