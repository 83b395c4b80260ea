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

	"github.com/galenacart/galenacart/internal/message"
	"github.com/galenacart/galenacart/internal/testaddress"
)

// clock is a time that tests set.
type clock struct{ at time.Duration }

func (c *clock) now() time.Duration { return c.at }

// serve starts a node with a handler and returns the way to it.
func serve(t *testing.T, c *clock, handler Handler) *Link {
	t.Helper()
	acceptor := NewAcceptor(handler, ignoreState, c.now)
	mux := http.NewServeMux()
	mux.Handle(Path, acceptor)
	server := httptest.NewServer(mux)
	l := New(strings.TrimPrefix(server.URL, "http://"), c.now, noState)
	t.Cleanup(func() {
		l.Close()
		acceptor.Close()
		server.Close()
	})
	return l
}

func callOf(target string) *Call {
	c := &Call{Service: "stock", Route: "levels", RemainingMs: 1000}
	c.SetRequest(&message.Request{Method: "GET", Target: target, Host: "stock.example", Header: http.Header{"X-One": {"a", "b"}}})
	return c
}

func answering(status int) Handler {
	return func(_ context.Context, call *Call) *Reply {
		r := &Reply{}
		r.SetAnswer(&message.Answer{Status: status, Header: http.Header{"X-Target": {call.Target}}, Body: []byte(call.Target)})
		return r
	}
}

func TestCallsSideBySideGetTheirOwnReplies(t *testing.T) {
	l := serve(t, &clock{}, answering(200))
	done := make(chan struct{})
	for i := range 50 {
		go func() {
			defer func() { done <- struct{}{} }()
			target := "/levels/" + strings.Repeat("x", i)
			reply, err := l.Do(t.Context(), callOf(target))
			if err != nil || reply.Answer() == nil || string(reply.Answer().Body) != target {
				t.Errorf("call %d: %v, %+v", i, err, reply)
			}
		}()
	}
	for range 50 {
		<-done
	}
}

func TestRequestTravelsUnchanged(t *testing.T) {
	var seen *message.Request
	l := serve(t, &clock{}, func(_ context.Context, call *Call) *Reply {
		seen = call.Request()
		return &Reply{Refused: RefusedFull}
	})
	call := callOf("/a/b?c=%20d")
	call.Body = []byte{0, 1, 2}
	reply, err := l.Do(t.Context(), call)
	require.NoError(t, err)
	require.Equal(t, RefusedFull, reply.Refused)
	require.Equal(t, call.Request(), seen)
	require.Equal(t, []string{"a", "b"}, seen.Header["X-One"])
}

func TestIdleTimeIsNoSilence(t *testing.T) {
	c := &clock{}
	working := make(chan struct{})
	finish := make(chan struct{})
	slow := false
	l := serve(t, c, func(context.Context, *Call) *Reply {
		if slow {
			close(working)
			<-finish
		}
		return &Reply{Status: 200}
	})
	_, err := l.Do(t.Context(), callOf("/first"))
	require.NoError(t, err)

	c.at += time.Minute // nobody calls
	slow = true
	result := make(chan error, 1)
	go func() {
		_, err := l.Do(t.Context(), callOf("/second"))
		result <- err
	}()
	<-working
	require.False(t, l.Doubtful())
	l.Watch()
	close(finish)
	require.NoError(t, <-result)
}

func TestSilentLinkIsGivenUp(t *testing.T) {
	c := &clock{}
	working := make(chan struct{})
	l := serve(t, c, func(ctx context.Context, _ *Call) *Reply {
		close(working)
		<-ctx.Done()
		return &Reply{}
	})
	result := make(chan error, 1)
	go func() {
		_, err := l.Do(t.Context(), callOf("/silent"))
		result <- err
	}()
	<-working
	c.at += lostAfter + time.Millisecond
	require.True(t, l.Doubtful())
	l.Watch()
	require.ErrorIs(t, <-result, ErrLost)
}

func TestCancelReachesTheOtherNode(t *testing.T) {
	given := make(chan struct{})
	working := make(chan struct{})
	l := serve(t, &clock{}, func(ctx context.Context, _ *Call) *Reply {
		close(working)
		<-ctx.Done()
		close(given)
		return &Reply{}
	})
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := l.Do(ctx, callOf("/long"))
		result <- err
	}()
	<-working
	cancel()
	require.ErrorIs(t, <-result, context.Canceled)
	<-given
}

func TestUnreachableNodeProvesNotSent(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	c := &clock{}
	l := New(address, c.now, noState)
	_, err := l.Do(t.Context(), callOf("/x"))
	require.ErrorIs(t, err, ErrUnsent)
	require.True(t, l.Doubtful())
}

func TestNoCallWaitsForANodeThatIsGone(t *testing.T) {
	c := &clock{}
	acceptor := NewAcceptor(answering(200), ignoreState, c.now)
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
	l := New(address, c.now, noState)
	defer l.Close()
	_, err := l.Do(t.Context(), callOf("/x"))
	require.NoError(t, err)

	require.NoError(t, server.Close())
	acceptor.Close()
	require.Eventually(t, l.Doubtful, time.Second, time.Millisecond)
	_, err = l.Do(t.Context(), callOf("/x"))
	require.ErrorIs(t, err, ErrUnsent, "at once, without an opening of its own")

	server = start()
	defer func() {
		acceptor.Close()
		_ = server.Close()
	}()
	c.at += redialPause
	l.Watch()
	require.Eventually(t, func() bool { return !l.Doubtful() }, time.Second, time.Millisecond)
	_, err = l.Do(t.Context(), callOf("/x"))
	require.NoError(t, err)
}

// BenchmarkCall takes calls with a usual answer over a link and back.
func BenchmarkCall(b *testing.B) {
	c := &clock{}
	acceptor := NewAcceptor(func(context.Context, *Call) *Reply {
		r := &Reply{Load: Load{Busy: 3, Limit: 14, Pressure: 800, UsualMs: 30}}
		r.SetAnswer(&message.Answer{Status: 200, Header: http.Header{"Content-Type": {"text/plain"}}, Body: make([]byte, 600)})
		return r
	}, ignoreState, c.now)
	mux := http.NewServeMux()
	mux.Handle(Path, acceptor)
	server := httptest.NewServer(mux)
	l := New(strings.TrimPrefix(server.URL, "http://"), c.now, noState)
	defer func() {
		l.Close()
		acceptor.Close()
		server.Close()
	}()
	call := callOf("/levels/1")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := l.Do(b.Context(), call); err != nil {
			b.Fatal(err)
		}
	}
}

func ignoreState([]byte) {}

func noState() []byte { return nil }

// asker starts a node that takes state, with a link from one that tells it.
func asker(t *testing.T, take func([]byte), tell func() []byte) (*Acceptor, *Link) {
	t.Helper()
	c := &clock{}
	acceptor := NewAcceptor(answering(200), take, c.now)
	mux := http.NewServeMux()
	mux.Handle(Path, acceptor)
	server := httptest.NewServer(mux)
	l := New(strings.TrimPrefix(server.URL, "http://"), c.now, tell)
	t.Cleanup(func() {
		l.Close()
		acceptor.Close()
		server.Close()
	})
	return acceptor, l
}

func TestNodeThatKnowsNothingIsTold(t *testing.T) {
	told := make(chan []byte, 1)
	acceptor, l := asker(t, func(state []byte) { told <- state }, func() []byte { return []byte("all") })
	require.False(t, acceptor.AskState(), "nobody to ask")
	_, err := l.Do(t.Context(), callOf("/a"))
	require.NoError(t, err)
	require.True(t, acceptor.AskState())
	require.Equal(t, []byte("all"), <-told)
}

func TestNodeThatKnowsNothingTellsNothing(t *testing.T) {
	acceptor, l := asker(t, func([]byte) { t.Error("told of nothing") }, noState)
	_, err := l.Do(t.Context(), callOf("/a"))
	require.NoError(t, err)
	require.True(t, acceptor.AskState())
	_, err = l.Do(t.Context(), callOf("/b"))
	require.NoError(t, err, "the link goes on")
}
