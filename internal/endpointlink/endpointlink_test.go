package endpointlink

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/galenacart/galenacart/internal/message"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func testHeaders() message.Headers {
	return message.Headers{
		RequestID: "Request-Id", RemainingMs: "Remaining-Ms", ResponseSeal: "Seal",
		ExpectEndpoint: "Expect-Endpoint", NotStarted: "Not-Started", CallerService: "Caller-Service",
	}
}

// endpoint answers the n-th request of each connection with what reply writes,
// and closes the connection when reply returns false.
type endpoint struct {
	address     string
	connections atomic.Int32
	seen        chan *http.Request
}

func serve(t *testing.T, reply func(w io.Writer, n int) bool) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &endpoint{address: l.Addr().String(), seen: make(chan *http.Request, 16)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.connections.Add(1)
			go e.converse(conn, reply)
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return e
}

func (e *endpoint) converse(conn net.Conn, reply func(w io.Writer, n int) bool) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		e.seen <- r
		if !reply(turn{conn, r.Header.Get("Request-Id")}, n) {
			return
		}
	}
}

// turn is a connection whose client waits for the answer to a request.
type turn struct {
	net.Conn
	id string
}

// answer answers the request whose turn it is with a text for the request 1.
func answer(w io.Writer, text string) bool {
	return say(w, strings.ReplaceAll(text, "Request-Id: 1", "Request-Id: "+w.(turn).id))
}

func say(w io.Writer, text string) bool {
	_, err := io.WriteString(w, text)
	return err == nil
}

func callOf(id string) *Call {
	return &Call{
		Request: &message.Request{
			Method: "GET", Target: "/levels/1?a=b", Host: "stock.example",
			Header: http.Header{"Request-Id": {id}, "X-Own": {"kept"}, "Caller-Service": {"forged"}},
		},
		Endpoint: "e-1", CallerService: "door", Remaining: 1500 * time.Millisecond, Idempotent: true,
	}
}

const whole = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok"

func TestFates(t *testing.T) {
	tests := []struct {
		desc  string
		reply string
		close bool
		fate  Outcome
		body  string
	}{
		{"whole answer", whole, false, Answered, "ok"},
		{"failure of the endpoint's own", "HTTP/1.1 500 X\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", false, Answered, ""},
		{"whole answer that ends with its connection", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSeal: s\r\n\r\nok", true, Answered, "ok"},
		{"answer in chunks", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, Answered, "ok"},
		{"late answer to an earlier request first", "HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nSeal: s\r\nContent-Length: 3\r\n\r\nold" + whole, false, Answered, "ok"},
		{"interim answer first", "HTTP/1.1 102 Processing\r\n\r\n" + whole, false, Answered, "ok"},
		{"statement that it was not run", "HTTP/1.1 503 X\r\nRequest-Id: 1\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", false, NotRun, ""},
		{"another endpoint has the address", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", false, NotRun, ""},
		{"503 without a statement", "HTTP/1.1 503 X\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", false, Answered, ""},
		{"answer that breaks off", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSeal: s\r\nContent-Length: 9\r\n\r\nok", true, Unknown, ""},
		{"chunks that break off", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true, Unknown, ""},
		{"success without a seal", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nok", false, Unknown, ""},
		{"encoded body", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", false, Unknown, ""},
		{"answer to another request only", "HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok", true, Unknown, ""},
		{"bytes that are no answer", "\x00\x01\x02\r\n\r\n", true, Unknown, ""},
		{"nothing", "", true, Unknown, ""},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			e := serve(t, func(w io.Writer, _ int) bool { return say(w, test.reply) && !test.close })
			p := New(e.address, testHeaders(), Bounds{})
			defer p.Close()
			a, fate, err := p.Do(t.Context(), callOf("1"))
			require.Equal(t, test.fate, fate, "%v", err)
			if fate == Answered {
				require.NoError(t, err)
				require.Equal(t, test.body, string(a.Body))
				return
			}
			require.Error(t, err)
			require.Nil(t, a)
		})
	}
}

func TestRefusalOfTheEndpointIsTold(t *testing.T) {
	e := serve(t, func(w io.Writer, _ int) bool {
		return say(w, "HTTP/1.1 503 X\r\nRequest-Id: 1\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
	})
	p := New(e.address, testHeaders(), Bounds{})
	defer p.Close()
	_, fate, err := p.Do(t.Context(), callOf("1"))
	require.Equal(t, NotRun, fate)
	require.ErrorIs(t, err, ErrRefused)
}

func TestRequestIsHandedOverUnchanged(t *testing.T) {
	e := serve(t, func(w io.Writer, _ int) bool { return say(w, whole) })
	p := New(e.address, testHeaders(), Bounds{})
	defer p.Close()
	_, _, err := p.Do(t.Context(), callOf("1"))
	require.NoError(t, err)
	r := <-e.seen
	require.Equal(t, "/levels/1?a=b", r.RequestURI)
	require.Equal(t, "stock.example", r.Host)
	require.Equal(t, []string{"1"}, r.Header["Request-Id"])
	require.Equal(t, []string{"kept"}, r.Header["X-Own"])
	require.Equal(t, []string{"door"}, r.Header["Caller-Service"], "set anew, whatever was sent")
	require.Equal(t, []string{"e-1"}, r.Header["Expect-Endpoint"])
	require.Equal(t, []string{"1500"}, r.Header["Remaining-Ms"])
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	tests := []struct {
		desc  string
		reply string
		want  int32 // connections of two requests
	}{
		{"after a whole answer", whole, 1},
		{"not after the endpoint says that it closes", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSeal: s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2},
		{"not with bytes left over", whole + whole, 2},
		{"not when it would close soon", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSeal: s\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", 2},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			e := serve(t, func(w io.Writer, _ int) bool { return answer(w, test.reply) })
			p := New(e.address, testHeaders(), Bounds{})
			defer p.Close()
			for _, id := range []string{"1", "2"} {
				_, fate, err := p.Do(t.Context(), callOf(id))
				require.Equal(t, Answered, fate, "%v", err)
			}
			require.Equal(t, test.want, e.connections.Load())
		})
	}
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	e := serve(t, func(w io.Writer, _ int) bool { return answer(w, whole) && false })
	p := New(e.address, testHeaders(), Bounds{})
	defer p.Close()
	for _, id := range []string{"1", "2", "3"} {
		_, fate, err := p.Do(t.Context(), callOf(id))
		require.Equal(t, Answered, fate, "%v", err)
		<-e.seen
		require.Eventually(t, func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.idle) == 0 || !p.idle[0].quiet()
		}, time.Second, time.Millisecond)
	}
}

func TestUnreachableEndpointProvesNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	p := New(address, testHeaders(), Bounds{})
	_, fate, err := p.Do(t.Context(), callOf("1"))
	require.Equal(t, NotRun, fate)
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrRefused)
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	working := make(chan struct{})
	hungUp := make(chan struct{})
	e := serve(t, func(w io.Writer, _ int) bool {
		close(working)
		one := make([]byte, 1)
		_, _ = w.(net.Conn).Read(one) // returns when the node hangs up
		close(hungUp)
		return false
	})
	p := New(e.address, testHeaders(), Bounds{})
	defer p.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-working
		cancel()
	}()
	_, fate, err := p.Do(ctx, callOf("1"))
	require.Equal(t, Unknown, fate)
	require.Error(t, err)
	<-hungUp
}

func TestForgottenConnectionsAreNotedAndLeft(t *testing.T) {
	e := serve(t, func(w io.Writer, n int) bool {
		if n == 2 {
			return false // it has forgotten the connection
		}
		return say(w, whole)
	})
	p := New(e.address, testHeaders(), Bounds{})
	defer p.Close()
	_, fate, _ := p.Do(t.Context(), callOf("1"))
	require.Equal(t, Answered, fate)
	p.idle[0].idleSince = time.Now().Add(-600 * time.Millisecond)
	_, fate, _ = p.Do(t.Context(), callOf("2"))
	require.Equal(t, Unknown, fate)
	require.LessOrEqual(t, p.idleMax(true), 301*time.Millisecond)
	require.Equal(t, idleNonIdempotent, p.idleMax(false))
}
