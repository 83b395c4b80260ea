package calllink

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A call for a node that fell silent while nobody called was never sent: it may go
// elsewhere, also if it must not run twice.
func TestNoCallIsSentIntoSilence(t *testing.T) {
	c := &clock{}
	var runs atomic.Int32
	l := connect(t, c, func(context.Context, *Call) *Reply {
		runs.Add(1)
		return &Reply{Status: 200}
	}, untold)
	_, err := l.Do(t.Context(), callOf("/1"))
	require.NoError(t, err)
	require.EqualValues(t, 1, runs.Load())

	c.at += freshFor + time.Millisecond
	l.still.SetStalled(true)
	for range 3 {
		_, err = l.Do(t.Context(), callOf("/2"))
		require.ErrorIs(t, err, ErrNotSent)
		c.at += proofTimeout
		require.True(t, l.Unresponsive())
	}
	told, ok := l.Status()
	require.True(t, ok)
	require.True(t, told.AwaitingReply)
	require.GreaterOrEqual(t, told.Overdue, 3*proofTimeout)

	l.still.SetStalled(false)
	require.Eventually(t, func() bool { return !l.Unresponsive() }, 10*time.Second, time.Millisecond)
	_, err = l.Do(t.Context(), callOf("/3"))
	require.NoError(t, err)
	require.EqualValues(t, 2, runs.Load(), "the calls in between never ran")
}

func TestLinkThatStaysUnprovenIsGivenUp(t *testing.T) {
	c := &clock{}
	l := connect(t, c, answering(200), untold)
	_, err := l.Do(t.Context(), callOf("/1"))
	require.NoError(t, err)
	c.at += freshFor + time.Millisecond
	l.still.SetStalled(true)
	_, err = l.Do(t.Context(), callOf("/2"))
	require.ErrorIs(t, err, ErrNotSent)
	c.at += lostAfter + time.Millisecond
	l.Maintain()
	require.Eventually(t, func() bool {
		told, ok := l.Status()
		return ok && !told.Open
	}, 10*time.Second, time.Millisecond)
}

// A quiet link costs one question for all calls that come at once.
func TestCallsOnAQuietLinkWaitForOneSign(t *testing.T) {
	c := &clock{}
	l := connect(t, c, answering(200), untold)
	_, err := l.Do(t.Context(), callOf("/1"))
	require.NoError(t, err)
	c.at += time.Minute
	results := make(chan error, 20)
	for range cap(results) {
		go func() {
			_, err := l.Do(t.Context(), callOf("/2"))
			results <- err
		}()
	}
	for range cap(results) {
		require.NoError(t, <-results)
	}
}
