package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCrashDetector(t *testing.T) {
	var now time.Duration
	down, checks := false, 0
	c := newCrashDetector(func() time.Duration { return now }, func() bool {
		checks++
		return down
	})
	_, crashed := c.connectionBroken()
	require.False(t, crashed, "a single broken connection is no crash")
	_, crashed = c.connectionBroken()
	require.False(t, crashed)
	require.Equal(t, 1, checks, "calls that break at the same time share one check")

	now, down = time.Second, true
	first, crashed := c.connectionBroken()
	require.True(t, crashed)
	now += crashWindow - 1
	down = false
	same, crashed := c.connectionBroken()
	require.True(t, crashed)
	require.Equal(t, first, same, "all calls that were running belong to the crash")

	now++
	_, crashed = c.connectionBroken()
	require.False(t, crashed, "the endpoint has restarted")
	now += time.Second
	down = true
	second, crashed := c.connectionBroken()
	require.True(t, crashed)
	require.NotEqual(t, first, second)
}
