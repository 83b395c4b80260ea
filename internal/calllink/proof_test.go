package calllink

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/testnet"
)

// serveStandstill starts a node that can be made to stand still, and returns the
// way to it.
func serveStandstill(t *testing.T, c *clock, handler Handler) (*Link, *testnet.Standstill) {
	t.Helper()
	acceptor := NewAcceptor(handler, ignoreState, c.now)
	mux := http.NewServeMux()
	mux.Handle(Path, acceptor)
	server := httptest.NewUnstartedServer(mux)
	node := testnet.NewStandstill(server.Listener)
	server.Listener = node
	server.Start()
	l := New(strings.TrimPrefix(server.URL, "http://"), c.now, noState)
	t.Cleanup(func() {
		node.Set(false)
		l.Close()
		acceptor.Close()
		server.Close()
	})
	return l, node
}

// A call for a node that fell silent while nobody called was never sent: it may go
// elsewhere, also if it must not run twice.
func TestNoCallIsSentIntoSilence(t *testing.T) {
	c := &clock{}
	var runs atomic.Int32
	l, node := serveStandstill(t, c, func(context.Context, *Call) *Reply {
		runs.Add(1)
		return &Reply{Status: 200}
	})
	_, err := l.Do(t.Context(), callOf("/1"))
	require.NoError(t, err)
	require.EqualValues(t, 1, runs.Load())

	c.at += freshFor + time.Millisecond
	node.Set(true)
	for range 3 {
		_, err = l.Do(t.Context(), callOf("/2"))
		require.ErrorIs(t, err, ErrUnsent)
		c.at += proofTimeout
		require.True(t, l.Doubtful())
	}
	told, ok := l.Look()
	require.True(t, ok)
	require.True(t, told.Waiting)
	require.GreaterOrEqual(t, told.Silent, 3*proofTimeout)

	node.Set(false)
	require.Eventually(t, func() bool { return !l.Doubtful() }, 10*time.Second, time.Millisecond)
	_, err = l.Do(t.Context(), callOf("/3"))
	require.NoError(t, err)
	require.EqualValues(t, 2, runs.Load(), "the calls in between never ran")
}

func TestLinkThatStaysUnprovenIsGivenUp(t *testing.T) {
	c := &clock{}
	l, node := serveStandstill(t, c, answering(200))
	_, err := l.Do(t.Context(), callOf("/1"))
	require.NoError(t, err)
	c.at += freshFor + time.Millisecond
	node.Set(true)
	_, err = l.Do(t.Context(), callOf("/2"))
	require.ErrorIs(t, err, ErrUnsent)
	c.at += lostAfter + time.Millisecond
	l.Watch()
	require.Eventually(t, func() bool {
		told, ok := l.Look()
		return ok && !told.Open
	}, 10*time.Second, time.Millisecond)
}

// A quiet link costs one question for all calls that come at once.
func TestCallsOnAQuietLinkWaitForOneSign(t *testing.T) {
	c := &clock{}
	l, _ := serveStandstill(t, c, answering(200))
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
