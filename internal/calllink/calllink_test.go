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
	"github.com/galenacart/galenacart/internal/message"
	"github.com/galenacart/galenacart/internal/testaddress"
	"github.com/galenacart/galenacart/internal/testnet"
)

// clock is a time that tests set.
type clock struct{ at time.Duration }

func (c *clock) now() time.Duration { return c.at }

// pair is a node, which can be made to stand still, and the way to it.
type pair struct {
	*Link
	node  *Acceptor
	still *testnet.StallingListener
}

// deployment is what the two nodes of a pair do with state: the node takes it, its
// caller tells it.
type deployment struct {
	take func(state []byte)
	tell func() []byte
	// learn takes the crashes of endpoints, on both sides.
	learn func([]quarantine.Loss)
}

// untold is a deployment in which nobody tells anything.
var untold = deployment{take: func([]byte) {}, tell: func() []byte { return nil }, learn: func([]quarantine.Loss) {}}

func connect(t testing.TB, c *clock, handler Handler, d deployment) *pair {
	t.Helper()
	p := &pair{node: NewAcceptor(handler, d.take, d.learn, c.now)}
	mux := http.NewServeMux()
	mux.Handle(Path, p.node)
	server := httptest.NewUnstartedServer(mux)
	p.still = testnet.NewStallingListener(server.Listener)
	server.Listener = p.still
	server.Start()
	p.Link = New(strings.TrimPrefix(server.URL, "http://"), c.now, d.tell, d.learn)
	t.Cleanup(func() {
		p.still.SetStalled(false)
		p.Close()
		p.node.Close()
		server.Close()
	})
	return p
}

func callOf(target string) *Call {
	c := &Call{Service: "stock", Route: "levels", RemainingMs: 1000}
	c.SetRequest(&message.Request{Method: "GET", Target: target, Host: "stock.example", Header: http.Header{"X-One": {"a", "b"}}})
	return c
}

func answering(status int) Handler {
	return func(_ context.Context, call *Call) *Reply {
		r := &Reply{}
		r.SetAnswer(&message.Response{Status: status, Header: http.Header{"X-Target": {call.Target}}, Body: []byte(call.Target)})
		return r
	}
}

func TestCallsSideBySideGetTheirOwnReplies(t *testing.T) {
	l := connect(t, &clock{}, answering(200), untold)
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
	l := connect(t, &clock{}, func(_ context.Context, call *Call) *Reply {
		seen = call.Request()
		return &Reply{Refused: RefusedNoCapacity}
	}, untold)
	call := callOf("/a/b?c=%20d")
	call.Body = []byte{0, 1, 2}
	reply, err := l.Do(t.Context(), call)
	require.NoError(t, err)
	require.Equal(t, RefusedNoCapacity, reply.Refused)
	require.Equal(t, call.Request(), seen)
	require.Equal(t, []string{"a", "b"}, seen.Header["X-One"])
}

func TestIdleTimeIsNoSilence(t *testing.T) {
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
	}, untold)
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
	require.False(t, l.Unresponsive())
	l.Maintain()
	close(finish)
	require.NoError(t, <-result)
}

func TestSilentLinkIsGivenUp(t *testing.T) {
	c := &clock{}
	working := make(chan struct{})
	l := connect(t, c, func(ctx context.Context, _ *Call) *Reply {
		close(working)
		<-ctx.Done()
		return &Reply{}
	}, untold)
	result := make(chan error, 1)
	go func() {
		_, err := l.Do(t.Context(), callOf("/silent"))
		result <- err
	}()
	<-working
	c.at += lostAfter + time.Millisecond
	require.True(t, l.Unresponsive())
	l.Maintain()
	require.ErrorIs(t, <-result, ErrReplyLost)
}

func TestCancelReachesTheOtherNode(t *testing.T) {
	given := make(chan struct{})
	working := make(chan struct{})
	l := connect(t, &clock{}, func(ctx context.Context, _ *Call) *Reply {
		close(working)
		<-ctx.Done()
		close(given)
		return &Reply{}
	}, untold)
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
	l := New(address, c.now, untold.tell, untold.learn)
	_, err := l.Do(t.Context(), callOf("/x"))
	require.ErrorIs(t, err, ErrNotSent)
	require.True(t, l.Unresponsive())
}

func TestNoCallWaitsForANodeThatIsGone(t *testing.T) {
	c := &clock{}
	acceptor := NewAcceptor(answering(200), untold.take, untold.learn, c.now)
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
	l := New(address, c.now, untold.tell, untold.learn)
	defer l.Close()
	_, err := l.Do(t.Context(), callOf("/x"))
	require.NoError(t, err)

	require.NoError(t, server.Close())
	acceptor.Close()
	require.Eventually(t, l.Unresponsive, time.Second, time.Millisecond)
	_, err = l.Do(t.Context(), callOf("/x"))
	require.ErrorIs(t, err, ErrNotSent, "at once, without an opening of its own")

	server = start()
	defer func() {
		acceptor.Close()
		_ = server.Close()
	}()
	c.at += redialPause
	l.Maintain()
	require.Eventually(t, func() bool { return !l.Unresponsive() }, time.Second, time.Millisecond)
	_, err = l.Do(t.Context(), callOf("/x"))
	require.NoError(t, err)
}

// BenchmarkCall takes calls with a usual answer over a link and back.
func BenchmarkCall(b *testing.B) {
	l := connect(b, &clock{}, func(context.Context, *Call) *Reply {
		r := &Reply{Load: Load{Outstanding: 3, Limit: 14, PressurePermille: 800, TypicalMs: 30}}
		r.SetAnswer(&message.Response{Status: 200, Header: http.Header{"Content-Type": {"text/plain"}}, Body: make([]byte, 600)})
		return r
	}, untold)
	call := callOf("/levels/1")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := l.Do(b.Context(), call); err != nil {
			b.Fatal(err)
		}
	}
}

func TestNodeThatKnowsNothingIsTold(t *testing.T) {
	told := make(chan []byte, 1)
	l := connect(t, &clock{}, answering(200), deployment{
		take: func(state []byte) { told <- state },
		tell: func() []byte { return []byte("all") },
	})
	require.False(t, l.node.RequestState(), "nobody to ask")
	_, err := l.Do(t.Context(), callOf("/a"))
	require.NoError(t, err)
	require.True(t, l.node.RequestState())
	require.Equal(t, []byte("all"), <-told)
}

func TestNodeThatKnowsNothingTellsNothing(t *testing.T) {
	l := connect(t, &clock{}, answering(200), deployment{
		take: func([]byte) { t.Error("told of nothing") },
		tell: untold.tell,
	})
	_, err := l.Do(t.Context(), callOf("/a"))
	require.NoError(t, err)
	require.True(t, l.node.RequestState())
	_, err = l.Do(t.Context(), callOf("/b"))
	require.NoError(t, err, "the link goes on")
}
