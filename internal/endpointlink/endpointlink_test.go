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

// endpoint answers the n-th request of each connection with what reply writes, and closes
// the connection when reply returns false.
type endpoint struct {
	address     string
	connections atomic.Int32
	requests    chan *http.Request
}

func serve(t *testing.T, reply func(w io.Writer, n int) bool) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &endpoint{address: l.Addr().String(), requests: make(chan *http.Request, 16)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.connections.Add(1)
			go e.serveConn(conn, reply)
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return e
}

func (e *endpoint) serveConn(conn net.Conn, reply func(w io.Writer, n int) bool) {
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
		e.requests <- r
		if !reply(pendingRequest{conn, r.Header.Get("Request-Id")}, n) {
			return
		}
	}
}

// pendingRequest is a connection whose client waits for the response to a request.
type pendingRequest struct {
	net.Conn
	id string
}

// writeResponse writes text, a response to the request with ID 1, with the ID of the pending
// request instead.
func writeResponse(w io.Writer, text string) bool {
	return writeText(w, strings.ReplaceAll(text, "Request-Id: 1", "Request-Id: "+w.(pendingRequest).id))
}

func writeText(w io.Writer, text string) bool {
	_, err := io.WriteString(w, text)
	return err == nil
}

func newCall(id string) *Call {
	return &Call{
		Request: &message.Request{
			Method: "GET", Target: "/levels/1?a=b", Host: "stock.example",
			Header: http.Header{"Request-Id": {id}, "X-Own": {"kept"}, "Caller-Service": {"forged"}},
		},
		Endpoint: "e-1", CallerService: "door", Remaining: 1500 * time.Millisecond, Idempotent: true,
	}
}

const completeResponse = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok"

func TestOutcomes(t *testing.T) {
	tests := []struct {
		desc    string
		reply   string
		close   bool
		outcome Outcome
		body    string
	}{
		{"whole response", completeResponse, false, Answered, "ok"},
		{"error status from the endpoint", "HTTP/1.1 500 X\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", false, Answered, ""},
		{"whole response delimited by the end of the connection", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSeal: s\r\n\r\nok", true, Answered, "ok"},
		{"chunked response", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, Answered, "ok"},
		{"late response to an earlier request first", "HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nSeal: s\r\nContent-Length: 3\r\n\r\nold" + completeResponse, false, Answered, "ok"},
		{"informational response first", "HTTP/1.1 102 Processing\r\n\r\n" + completeResponse, false, Answered, "ok"},
		{"statement that it was not run", "HTTP/1.1 503 X\r\nRequest-Id: 1\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", false, NotRun, ""},
		{"another endpoint has the address", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", false, NotRun, ""},
		{"503 without a statement", "HTTP/1.1 503 X\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", false, Answered, ""},
		{"truncated response", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSeal: s\r\nContent-Length: 9\r\n\r\nok", true, Unknown, ""},
		{"truncated chunked response", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true, Unknown, ""},
		{"success without a seal", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nok", false, Unknown, ""},
		{"encoded body", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", false, Unknown, ""},
		{"response to another request only", "HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok", true, Unknown, ""},
		{"bytes that are not HTTP", "\x00\x01\x02\r\n\r\n", true, Unknown, ""},
		{"nothing", "", true, Unknown, ""},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			e := serve(t, func(w io.Writer, _ int) bool { return writeText(w, test.reply) && !test.close })
			p := New(e.address, testHeaders(), Bounds{})
			defer p.Close()
			a, outcome, err := p.Do(t.Context(), newCall("1"))
			require.Equal(t, test.outcome, outcome, "%v", err)
			if outcome == Answered {
				require.NoError(t, err)
				require.Equal(t, test.body, a.Body.String())
				return
			}
			require.Error(t, err)
			require.Nil(t, a)
		})
	}
}

func TestEndpointRefusalIsReported(t *testing.T) {
	e := serve(t, func(w io.Writer, _ int) bool {
		return writeText(w, "HTTP/1.1 503 X\r\nRequest-Id: 1\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
	})
	p := New(e.address, testHeaders(), Bounds{})
	defer p.Close()
	_, outcome, err := p.Do(t.Context(), newCall("1"))
	require.Equal(t, NotRun, outcome)
	require.ErrorIs(t, err, ErrRefused)
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	e := serve(t, func(w io.Writer, _ int) bool { return writeText(w, completeResponse) })
	p := New(e.address, testHeaders(), Bounds{})
	defer p.Close()
	_, _, err := p.Do(t.Context(), newCall("1"))
	require.NoError(t, err)
	r := <-e.requests
	require.Equal(t, "/levels/1?a=b", r.RequestURI)
	require.Equal(t, "stock.example", r.Host)
	require.Equal(t, []string{"1"}, r.Header["Request-Id"])
	require.Equal(t, []string{"kept"}, r.Header["X-Own"])
	require.Equal(t, []string{"door"}, r.Header["Caller-Service"], "overrides the value that the client sent")
	require.Equal(t, []string{"e-1"}, r.Header["Expect-Endpoint"])
	require.Equal(t, []string{"1500"}, r.Header["Remaining-Ms"])
}

func TestConnectionReuse(t *testing.T) {
	tests := []struct {
		desc  string
		reply string
		want  int32 // connections of two requests
	}{
		{"after a whole response", completeResponse, 1},
		{"not after Connection: close", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSeal: s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2},
		{"not with unread bytes", completeResponse + completeResponse, 2},
		{"not when the Keep-Alive timeout is within the margin", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSeal: s\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", 2},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			e := serve(t, func(w io.Writer, _ int) bool { return writeResponse(w, test.reply) })
			p := New(e.address, testHeaders(), Bounds{})
			defer p.Close()
			for _, id := range []string{"1", "2"} {
				_, outcome, err := p.Do(t.Context(), newCall(id))
				require.Equal(t, Answered, outcome, "%v", err)
			}
			require.Equal(t, test.want, e.connections.Load())
		})
	}
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	e := serve(t, func(w io.Writer, _ int) bool { return writeResponse(w, completeResponse) && false })
	p := New(e.address, testHeaders(), Bounds{})
	defer p.Close()
	for _, id := range []string{"1", "2", "3"} {
		_, outcome, err := p.Do(t.Context(), newCall(id))
		require.Equal(t, Answered, outcome, "%v", err)
		<-e.requests
		require.Eventually(t, func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.idle) == 0 || !p.idle[0].openWithoutData()
		}, time.Second, time.Millisecond)
	}
}

func TestUnreachableEndpointProvesNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	p := New(address, testHeaders(), Bounds{})
	_, outcome, err := p.Do(t.Context(), newCall("1"))
	require.Equal(t, NotRun, outcome)
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrRefused)
}

func TestCancelledContextClosesTheConnection(t *testing.T) {
	working := make(chan struct{})
	closed := make(chan struct{})
	e := serve(t, func(w io.Writer, _ int) bool {
		close(working)
		one := make([]byte, 1)
		_, _ = w.(net.Conn).Read(one) // returns when the pool closes the connection
		close(closed)
		return false
	})
	p := New(e.address, testHeaders(), Bounds{})
	defer p.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-working
		cancel()
	}()
	_, outcome, err := p.Do(ctx, newCall("1"))
	require.Equal(t, Unknown, outcome)
	require.Error(t, err)
	<-closed
}

func TestIdleClosedConnectionLowersTheIdleLimit(t *testing.T) {
	e := serve(t, func(w io.Writer, n int) bool {
		if n == 2 {
			return false // closes the idle connection without a response
		}
		return writeText(w, completeResponse)
	})
	p := New(e.address, testHeaders(), Bounds{})
	defer p.Close()
	_, outcome, _ := p.Do(t.Context(), newCall("1"))
	require.Equal(t, Answered, outcome)
	p.idle[0].idleSince = time.Now().Add(-600 * time.Millisecond)
	_, outcome, _ = p.Do(t.Context(), newCall("2"))
	require.Equal(t, Unknown, outcome)
	require.LessOrEqual(t, p.idleMax(true), 301*time.Millisecond)
	require.Equal(t, idleMaxNonIdempotent, p.idleMax(false))
}
