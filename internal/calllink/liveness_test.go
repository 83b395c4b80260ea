package calllink

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A call to a node that became silent while the link was idle is not sent, so it can be
// retried at another node even if it must not run twice.
func TestNoCallIsSentToASilentNode(t *testing.T) {
	c := &clock{}
	var runs atomic.Int32
	l := connect(t, c, func(context.Context, *Call) *Reply {
		runs.Add(1)
		return &Reply{Status: 200}
	}, noCallbacks)
	_, err := l.Do(t.Context(), newCall("/1"))
	require.NoError(t, err)
	require.EqualValues(t, 1, runs.Load())

	c.at += livenessValidity + time.Millisecond
	l.standstill.SetStalled(true)
	for range 3 {
		_, err = l.Do(t.Context(), newCall("/2"))
		require.ErrorIs(t, err, ErrNotSent)
		c.at += livenessTimeout
		require.True(t, l.Unresponsive())
	}
	status, ok := l.Status()
	require.True(t, ok)
	require.True(t, status.AwaitingReply)
	require.GreaterOrEqual(t, status.Overdue, 3*livenessTimeout)

	l.standstill.SetStalled(false)
	require.Eventually(t, func() bool { return !l.Unresponsive() }, 10*time.Second, time.Millisecond)
	_, err = l.Do(t.Context(), newCall("/3"))
	require.NoError(t, err)
	require.EqualValues(t, 2, runs.Load(), "the calls to the silent node did not run")
}

func TestLinkWithoutSignOfLifeIsClosed(t *testing.T) {
	c := &clock{}
	l := connect(t, c, respondWith(200), noCallbacks)
	_, err := l.Do(t.Context(), newCall("/1"))
	require.NoError(t, err)
	c.at += livenessValidity + time.Millisecond
	l.standstill.SetStalled(true)
	_, err = l.Do(t.Context(), newCall("/2"))
	require.ErrorIs(t, err, ErrNotSent)
	c.at += lostAfter + time.Millisecond
	l.Maintain()
	require.Eventually(t, func() bool {
		status, ok := l.Status()
		return ok && !status.Open
	}, 10*time.Second, time.Millisecond)
}

// On an idle link all concurrent calls share one liveness check.
func TestCallsOnAnIdleLinkShareOneLivenessCheck(t *testing.T) {
	c := &clock{}
	l := connect(t, c, respondWith(200), noCallbacks)
	_, err := l.Do(t.Context(), newCall("/1"))
	require.NoError(t, err)
	c.at += time.Minute
	results := make(chan error, 20)
	for range cap(results) {
		go func() {
			_, err := l.Do(t.Context(), newCall("/2"))
			results <- err
		}()
	}
	for range cap(results) {
		require.NoError(t, <-results)
	}
}
