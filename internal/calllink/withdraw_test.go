package calllink

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outcome is the result of Do.
type outcome struct {
	reply *Reply
	err   error
}

// start sends a call that can be withdrawn.
func start(t *testing.T, l *Link) (withdraw func(), result chan outcome) {
	t.Helper()
	withdrawn := make(chan struct{})
	call := newCall("/levels/1")
	call.Withdrawn = withdrawn
	result = make(chan outcome, 1)
	go func() {
		reply, err := l.Do(t.Context(), call)
		result <- outcome{reply, err}
	}()
	return func() { close(withdrawn) }, result
}

// TestWithdrawnCallThatWaitsIsRefused guards against calls whose caller ends without knowing
// that they have not run.
func TestWithdrawnCallThatWaitsIsRefused(t *testing.T) {
	waiting := make(chan struct{})
	l := connect(t, &clock{}, func(ctx context.Context, call *Call) *Reply {
		close(waiting)
		select {
		case <-call.Withdrawn:
			return &Reply{Refused: RefusedWithdrawn}
		case <-ctx.Done():
			return &Reply{}
		}
	}, noCallbacks)
	withdraw, result := start(t, l.Link)
	<-waiting
	withdraw()
	got := <-result
	require.NoError(t, got.err)
	require.Equal(t, RefusedWithdrawn, got.reply.Refused)
}

// TestWithdrawnCallThatRunsIsAnswered guards against answers that are lost because their call was
// withdrawn too late. Nodes of earlier versions reply in the same way, as they ignore the frame.
func TestWithdrawnCallThatRunsIsAnswered(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	l := connect(t, &clock{}, func(ctx context.Context, call *Call) *Reply {
		close(running)
		select {
		case <-finish:
			return respondWith(200)(ctx, call)
		case <-ctx.Done():
			return &Reply{}
		}
	}, noCallbacks)
	withdraw, result := start(t, l.Link)
	<-running
	withdraw()
	l.Probe()
	close(finish)
	got := <-result
	require.NoError(t, got.err)
	require.Equal(t, 200, got.reply.Status)
}

// TestCallWithdrawnDuringTheDialIsNotSent has a node that accepts connections and says nothing.
func TestCallWithdrawnDuringTheDialIsNotSent(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, silent.Close()) })
	c := &clock{}
	l := New(silent.Addr().String(), c.now, noCallbacks.exportState, noCallbacks.recordCrashes)
	t.Cleanup(l.Close)
	withdraw, result := start(t, l)
	withdraw()
	require.ErrorIs(t, (<-result).err, ErrNotSent)
}

// TestQueuedFrameIsTakenBack guards against a call that leaves the node after it was reported as
// not sent.
func TestQueuedFrameIsTakenBack(t *testing.T) {
	s := &stream{writing: true} // another goroutine writes
	first, second := &frame{ID: 1}, &frame{ID: 2}
	require.NoError(t, s.send(first))
	require.NoError(t, s.send(second))
	require.True(t, s.takeBack(first))
	require.False(t, s.takeBack(first))
	require.Equal(t, []*frame{second}, s.queue)
}

// TestWithdrawnCallOfSilentNodeEndsWithItsLink guards against a caller that waits for good for the
// reply to a withdrawal.
func TestWithdrawnCallOfSilentNodeEndsWithItsLink(t *testing.T) {
	c := &clock{}
	running, finish := make(chan struct{}), make(chan struct{})
	l := connect(t, c, func(context.Context, *Call) *Reply {
		close(running)
		<-finish
		return &Reply{}
	}, noCallbacks)
	t.Cleanup(func() { close(finish) })
	withdraw, result := start(t, l.Link)
	<-running
	l.standstill.SetStalled(true)
	withdraw()
	c.at += lostAfter + time.Millisecond
	l.Maintain()
	require.ErrorIs(t, (<-result).err, ErrReplyLost)
}
