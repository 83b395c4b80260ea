package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCrashesOfTheEndpoint(t *testing.T) {
	var now time.Duration
	down, looks := false, 0
	c := newCrashes(func() time.Duration { return now }, func() bool {
		looks++
		return down
	})
	_, crashed := c.broke()
	require.False(t, crashed, "single connections break at any time")
	_, crashed = c.broke()
	require.False(t, crashed)
	require.Equal(t, 1, looks, "calls that break together ask once")

	now, down = time.Second, true
	first, crashed := c.broke()
	require.True(t, crashed)
	now += crashSpan - 1
	down = false
	same, crashed := c.broke()
	require.True(t, crashed)
	require.Equal(t, first, same, "all calls that ran then belong to the crash")

	now++
	_, crashed = c.broke()
	require.False(t, crashed, "the endpoint is back")
	now += time.Second
	down = true
	second, crashed := c.broke()
	require.True(t, crashed)
	require.NotEqual(t, first, second)
}
