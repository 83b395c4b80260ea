package calllink

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/quarantine"
	"github.com/galenacart/galenacart/internal/memory"
	"github.com/galenacart/galenacart/internal/message"
	"github.com/galenacart/galenacart/internal/testaddress"
	"github.com/galenacart/galenacart/internal/testnet"
)

// testMemoryBytes is the memory of the process of a node.
const testMemoryBytes = 64 << 20

// clock is a time source that tests set.
type clock struct{ at time.Duration }

func (c *clock) now() time.Duration { return c.at }

// pair is a node whose connections can be stalled, and a link to it.
type pair struct {
	*Link
	node       *Acceptor
	standstill *testnet.StallingListener
}

// callbacks are the functions that the two nodes of a pair pass to the link.
type callbacks struct {
	receive       func(state []byte)      // of the called node
	exportState   func() []byte           // of the calling node
	recordCrashes func([]quarantine.Loss) // of both nodes
}

// noCallbacks exports no state and ignores everything that is received.
var noCallbacks = callbacks{receive: func([]byte) {}, exportState: func() []byte { return nil }, recordCrashes: func([]quarantine.Loss) {}}

func connect(t testing.TB, c *clock, handler Handler, cb callbacks) *pair {
	t.Helper()
	p := &pair{node: NewAcceptor(handler, cb.receive, cb.recordCrashes, c.now, memory.NewBudget(testMemoryBytes))}
	mux := http.NewServeMux()
	mux.Handle(Path, p.node)
	server := httptest.NewUnstartedServer(mux)
	p.standstill = testnet.NewStallingListener(server.Listener)
	server.Listener = p.standstill
	server.Start()
	p.Link = New(strings.TrimPrefix(server.URL, "http://"), c.now, cb.exportState, cb.recordCrashes)
	t.Cleanup(func() {
		p.standstill.SetStalled(false)
		p.Close()
		p.node.Close()
		server.Close()
	})
	return p
}

func newCall(target string) *Call {
	c := &Call{Service: "stock", Route: "levels", RemainingMs: 1000}
	c.SetRequest(&message.Request{Method: "GET", Target: target, Host: "stock.example", Header: http.Header{"X-One": {"a", "b"}}})
	return c
}

func respondWith(status int) Handler {
	return func(_ context.Context, call *Call) *Reply {
		r := &Reply{}
		r.SetAnswer(&message.Response{Status: status, Header: http.Header{"X-Target": {call.Target}}, Body: message.NewBody([]byte(call.Target))})
		return r
	}
}

func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	l := connect(t, &clock{}, respondWith(200), noCallbacks)
	done := make(chan struct{})
	for i := range 50 {
		go func() {
			defer func() { done <- struct{}{} }()
			target := "/levels/" + strings.Repeat("x", i)
			reply, err := l.Do(t.Context(), newCall(target))
			if err != nil || reply.Answer() == nil || reply.Answer().Body.String() != target {
				t.Errorf("call %d: %v, %+v", i, err, reply)
			}
		}()
	}
	for range 50 {
		<-done
	}
}

func TestRequestIsTransferredUnchanged(t *testing.T) {
	var received *message.Request
	l := connect(t, &clock{}, func(_ context.Context, call *Call) *Reply {
		received = call.Request()
		received.Memory = nil // the lease is that of the receiving node
		return &Reply{Refused: RefusedNoCapacity}
	}, noCallbacks)
	call := newCall("/a/b?c=%20d")
	call.Body = message.NewBody([]byte{0, 1, 2})
	reply, err := l.Do(t.Context(), call)
	require.NoError(t, err)
	require.Equal(t, RefusedNoCapacity, reply.Refused)
	require.Equal(t, call.Request(), received)
	require.Equal(t, []string{"a", "b"}, received.Header["X-One"])
}

func TestIdleTimeDoesNotCountAsSilence(t *testing.T) {
	c := &clock{}
	working := make(chan struct{})
	finish := make(chan struct{})
	slow := false
	l := connect(t, c, func(context.Context, *Call) *Reply {
		if slow {
			close(working)
			<-finish
		}
		return &Reply{Status: 200}
	}, noCallbacks)
	_, err := l.Do(t.Context(), newCall("/first"))
	require.NoError(t, err)

	c.at += time.Minute // no call is pending
	slow = true
	result := make(chan error, 1)
	go func() {
		_, err := l.Do(t.Context(), newCall("/second"))
		result <- err
	}()
	<-working
	require.False(t, l.Unresponsive())
	l.Maintain()
	close(finish)
	require.NoError(t, <-result)
}

func TestSilentLinkIsClosed(t *testing.T) {
	c := &clock{}
	working := make(chan struct{})
	l := connect(t, c, func(ctx context.Context, _ *Call) *Reply {
		close(working)
		<-ctx.Done()
		return &Reply{}
	}, noCallbacks)
	result := make(chan error, 1)
	go func() {
		_, err := l.Do(t.Context(), newCall("/silent"))
		result <- err
	}()
	<-working
	c.at += lostAfter + time.Millisecond
	require.True(t, l.Unresponsive())
	l.Maintain()
	require.ErrorIs(t, <-result, ErrReplyLost)
}

func TestCancelIsForwardedToTheOtherNode(t *testing.T) {
	cancelled := make(chan struct{})
	working := make(chan struct{})
	l := connect(t, &clock{}, func(ctx context.Context, _ *Call) *Reply {
		close(working)
		<-ctx.Done()
		close(cancelled)
		return &Reply{}
	}, noCallbacks)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := l.Do(ctx, newCall("/long"))
		result <- err
	}()
	<-working
	cancel()
	require.ErrorIs(t, <-result, context.Canceled)
	<-cancelled
}

func TestCallToUnreachableNodeIsNotSent(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	c := &clock{}
	l := New(address, c.now, noCallbacks.exportState, noCallbacks.recordCrashes)
	_, err := l.Do(t.Context(), newCall("/x"))
	require.ErrorIs(t, err, ErrNotSent)
	require.True(t, l.Unresponsive())
}

func TestCallToStoppedNodeFailsWithoutDialling(t *testing.T) {
	c := &clock{}
	acceptor := NewAcceptor(respondWith(200), noCallbacks.receive, noCallbacks.recordCrashes, c.now, memory.NewBudget(testMemoryBytes))
	mux := http.NewServeMux()
	mux.Handle(Path, acceptor)
	address := testaddress.New()
	start := func() *http.Server {
		listener, err := net.Listen("tcp", address)
		require.NoError(t, err)
		s := &http.Server{Handler: mux}
		go func() { _ = s.Serve(listener) }() // ends with Close
		return s
	}
	server := start()
	l := New(address, c.now, noCallbacks.exportState, noCallbacks.recordCrashes)
	defer l.Close()
	_, err := l.Do(t.Context(), newCall("/x"))
	require.NoError(t, err)

	require.NoError(t, server.Close())
	acceptor.Close()
	require.Eventually(t, l.Unresponsive, time.Second, time.Millisecond)
	_, err = l.Do(t.Context(), newCall("/x"))
	require.ErrorIs(t, err, ErrNotSent, "fails immediately, without another dial")

	server = start()
	defer func() {
		acceptor.Close()
		_ = server.Close()
	}()
	c.at += redialPause
	l.Maintain()
	require.Eventually(t, func() bool { return !l.Unresponsive() }, time.Second, time.Millisecond)
	_, err = l.Do(t.Context(), newCall("/x"))
	require.NoError(t, err)
}

// BenchmarkCall measures the round trip of a call with a typical response.
func BenchmarkCall(b *testing.B) {
	l := connect(b, &clock{}, func(context.Context, *Call) *Reply {
		r := &Reply{Load: Load{Outstanding: 3, Limit: 14, PressurePermille: 800, TypicalMs: 30}}
		r.SetAnswer(&message.Response{Status: 200, Header: http.Header{"Content-Type": {"text/plain"}}, Body: message.NewBody(make([]byte, 600))})
		return r
	}, noCallbacks)
	call := newCall("/levels/1")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := l.Do(b.Context(), call); err != nil {
			b.Fatal(err)
		}
	}
}

func TestRequestedStateIsSent(t *testing.T) {
	received := make(chan []byte, 1)
	l := connect(t, &clock{}, respondWith(200), callbacks{
		receive:     func(state []byte) { received <- state },
		exportState: func() []byte { return []byte("all") },
	})
	require.False(t, l.node.RequestState(), "no link to request the state from")
	_, err := l.Do(t.Context(), newCall("/a"))
	require.NoError(t, err)
	require.True(t, l.node.RequestState())
	require.Equal(t, []byte("all"), <-received)
}

func TestEmptyStateIsNotSent(t *testing.T) {
	l := connect(t, &clock{}, respondWith(200), callbacks{
		receive:     func([]byte) { t.Error("received a state") },
		exportState: noCallbacks.exportState,
	})
	_, err := l.Do(t.Context(), newCall("/a"))
	require.NoError(t, err)
	require.True(t, l.node.RequestState())
	_, err = l.Do(t.Context(), newCall("/b"))
	require.NoError(t, err, "the link stays open")
}
