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
	c.Report(now, "book", "reserve", 50)
	c.Report(now, "book", "price", priority.Lowest)
	c.Report(now, "book", "plan", 90)
	require.Equal(t, priority.Priority(50), c.Threshold(now, "book"), "the tightest of all calls below counts")
	require.False(t, c.Refuse(now, "book", 49))
	require.False(t, c.Refuse(now, "other", 60))
	require.False(t, c.Refuse(now, "book", 60), "the first one asks")
	require.True(t, c.Refuse(now+time.Millisecond, "book", 60))
	require.False(t, c.Refuse(now+ProbeInterval, "book", 60), "now and then one asks again")
}

func TestChainReopens(t *testing.T) {
	c := NewChain()
	c.Report(0, "book", "reserve", 50)
	c.Report(0, "book", "reserve", priority.Lowest)
	require.Equal(t, priority.Lowest, c.Threshold(0, "book"), "the newest report of a call counts")
	c.Report(0, "book", "reserve", 50)
	require.Equal(t, priority.Lowest, c.Threshold(Expiry, "book"), "a report expires")
}
