package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/galenacart/galenacart/internal/memory"
	"github.com/galenacart/galenacart/internal/message"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func testLimits() Limits {
	return Limits{HeaderBytes: 1024, BodyBytes: 64, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
}

// echo answers with the request's method, target, host and body.
func echo(_ context.Context, r *message.Request) *message.Response {
	return &message.Response{Status: 200, Header: http.Header{"X-Host": {r.Host}}, Body: message.NewBody([]byte(r.Method + " " + r.Target + " " + r.Body.String()))}
}

const (
	// testMemoryBytes is the memory of the process of a server under test.
	testMemoryBytes = 64 << 20
	// testConnectionsMax is the number of connections that it accepts.
	testConnectionsMax = 64
)

// testConfig returns a configuration whose own responses tell whether a request may have run.
func testConfig(limits Limits, handler Handler) Config {
	return Config{
		Limits:    func() Limits { return limits },
		Handler:   handler,
		RequestID: func(r *message.Request) string { return r.Header.Get("Request-Id") },
		Interrupted: func(string) *message.Response {
			return message.ErrorResponse(http.StatusBadGateway, "interrupted")
		},
		NotRead:        func() *message.Response { return message.ErrorResponse(http.StatusServiceUnavailable, "not read") },
		NoMemory:       func() *message.Response { return message.ErrorResponse(http.StatusServiceUnavailable, "no memory") },
		Memory:         memory.NewBudget(testMemoryBytes),
		ConnectionsMax: testConnectionsMax,
	}
}

// client is a connection to a server under test.
type client struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func startServer(t *testing.T, limits Limits, handler Handler) (*Server, func() *client) {
	t.Helper()
	s := New(testConfig(limits, handler))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		require.NoError(t, l.Close())
		s.Close(0)
		require.NoError(t, <-served)
	})
	return s, func() *client { return dialServer(t, l.Addr().String()) }
}

func dialServer(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &client{t: t, conn: conn, in: bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	require.NoError(c.t, err)
}

// received is the status and header of a response whose body was read.
type received struct {
	StatusCode int
	Header     http.Header
	Close      bool
}

func (c *client) receive() (received, string) {
	c.t.Helper()
	r, err := http.ReadResponse(c.in, nil)
	require.NoError(c.t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(c.t, err)
	require.NoError(c.t, r.Body.Close())
	return received{StatusCode: r.StatusCode, Header: r.Header, Close: r.Close}, string(body)
}

func (c *client) closed() {
	c.t.Helper()
	_, err := c.in.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

func TestRequestsAreReadWhole(t *testing.T) {
	_, dial := startServer(t, testLimits(), echo)
	tests := []struct{ desc, sent, want string }{
		{"no body", "GET /a/b?c=%20d HTTP/1.1\r\nHost: one.example\r\n\r\n", "GET /a/b?c=%20d "},
		{"body with a length", "POST /x HTTP/1.1\r\nHost: one.example\r\nContent-Length: 3\r\n\r\nabc", "POST /x abc"},
		{"chunked body", "POST /x HTTP/1.1\r\nHost: one.example\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", "POST /x abc"},
	}
	c := dial()
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c.send(test.sent)
			r, body := c.receive()
			require.Equal(t, 200, r.StatusCode)
			require.Equal(t, test.want, body)
			require.Equal(t, "one.example", r.Header.Get("X-Host"))
		})
	}
}

func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	release := make(chan struct{})
	_, dial := startServer(t, testLimits(), func(ctx context.Context, r *message.Request) *message.Response {
		if r.Target == "/1" {
			<-release
		}
		if r.Target == "/3" {
			close(release) // runs while the first request is still running
		}
		return echo(ctx, r)
	})
	c := dial()
	for _, target := range []string{"/1", "/2", "/3"} {
		c.send("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	for _, want := range []string{"GET /1 ", "GET /2 ", "GET /3 "} {
		_, body := c.receive()
		require.Equal(t, want, body)
	}
}

func TestClosedConnectionCancelsItsRequests(t *testing.T) {
	running := make(chan struct{})
	cancelled := make(chan struct{})
	_, dial := startServer(t, testLimits(), func(ctx context.Context, _ *message.Request) *message.Response {
		close(running)
		<-ctx.Done()
		close(cancelled)
		return message.ErrorResponse(503, "gone")
	})
	c := dial()
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-running
	require.NoError(t, c.conn.Close())
	<-cancelled
}

func TestRefusedRequests(t *testing.T) {
	_, dial := startServer(t, testLimits(), echo)
	tests := []struct {
		desc, sent string
		want       int
	}{
		{"head over the limit", "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 4096) + "\r\n\r\n", 431},
		{"body over the limit", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", 413},
		{"chunked body over the limit", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n50\r\n" + strings.Repeat("x", 0x50) + "\r\n0\r\n\r\n", 413},
		{"not HTTP", "hello\r\n\r\n", 400},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := dial()
			c.send(test.sent)
			r, _ := c.receive()
			require.Equal(t, test.want, r.StatusCode)
			require.True(t, r.Close)
		})
	}
}

func TestTruncatedBodyIsNotRun(t *testing.T) {
	_, dial := startServer(t, testLimits(), func(context.Context, *message.Request) *message.Response {
		t.Error("an incomplete request was run")
		return message.ErrorResponse(500, "")
	})
	c := dial()
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc")
	require.NoError(t, c.conn.(*net.TCPConn).CloseWrite())
	c.closed()
}

func TestSlowHeadIsRefused(t *testing.T) {
	limits := testLimits()
	limits.HeaderTimeout = 20 * time.Millisecond
	_, dial := startServer(t, limits, echo)
	c := dial()
	c.send("GET / HTTP/1.1\r\nHost:")
	r, _ := c.receive()
	require.Equal(t, http.StatusRequestTimeout, r.StatusCode)
}

func TestIdleConnectionIsClosed(t *testing.T) {
	limits := testLimits()
	limits.IdleTimeout = 20 * time.Millisecond
	_, dial := startServer(t, limits, echo)
	c := dial()
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.receive()
	c.closed()
}

func TestWaitingForAResponseIsNotIdle(t *testing.T) {
	limits := testLimits()
	limits.IdleTimeout = 10 * time.Millisecond
	release := make(chan struct{})
	s, dial := startServer(t, limits, func(ctx context.Context, r *message.Request) *message.Response {
		<-release
		return echo(ctx, r)
	})
	c := dial()
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	timer := time.AfterFunc(5*limits.IdleTimeout, func() { close(release) })
	defer timer.Stop()
	r, _ := c.receive()
	require.Equal(t, 200, r.StatusCode)
	require.Eventually(t, func() bool { return s.InFlight() == 0 }, time.Second, time.Millisecond)
}

func TestConnectionIsClosedAfterItsResponseWithoutKeepAlives(t *testing.T) {
	s, dial := startServer(t, testLimits(), echo)
	c := dial()
	c.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	r, _ := c.receive()
	require.False(t, r.Close)
	s.DisableKeepAlives()
	c.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	r, body := c.receive()
	require.Equal(t, "GET /2 ", body)
	require.True(t, r.Close)
	c.closed()
}

// TestQueuedRequestsAreAnsweredWithoutKeepAlives disables keep-alives while pipelined
// requests run. The connection must not be closed by a response before the last one.
func TestQueuedRequestsAreAnsweredWithoutKeepAlives(t *testing.T) {
	release := make(chan struct{})
	s, dial := startServer(t, testLimits(), func(ctx context.Context, r *message.Request) *message.Response {
		<-release
		return echo(ctx, r)
	})
	c := dial()
	c.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, func() bool { return s.InFlight() == 3 }, time.Second, time.Millisecond)
	s.DisableKeepAlives()
	close(release)
	for _, want := range []string{"/1", "/2", "/3"} {
		r, body := c.receive()
		require.Equal(t, "GET "+want+" ", body)
		require.Equal(t, want == "/3", r.Close)
	}
	c.closed()
}

// TestCloseAnswersAcceptedRequests closes the server while requests that it has read are
// running.
func TestCloseAnswersAcceptedRequests(t *testing.T) {
	s, dial := startServer(t, testLimits(), func(ctx context.Context, r *message.Request) *message.Response {
		time.Sleep(20 * time.Millisecond)
		return echo(ctx, r)
	})
	busy, idle := dial(), dial()
	idle.send("GET /0 HTTP/1.1\r\nHost: h\r\n\r\n")
	idle.receive()
	busy.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, func() bool { return s.InFlight() == 2 }, time.Second, time.Millisecond)
	s.Close(time.Second)
	for _, want := range []string{"/1", "/2"} {
		_, body := busy.receive()
		require.Equal(t, "GET "+want+" ", body)
	}
	busy.closed()
	idle.closed()
}

// TestLastResponseSurvivesAFurtherRequest runs a client that sends a further request while
// the last response of its connection is written. Closing the connection with those bytes
// unread would reset it, and the response could be lost.
func TestLastResponseSurvivesAFurtherRequest(t *testing.T) {
	s, dial := startServer(t, testLimits(), echo)
	c := dial()
	s.DisableKeepAlives()
	c.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, func() bool { _, err := c.in.Peek(1); return err == nil }, time.Second, time.Millisecond)
	for range 20 {
		_, err := io.WriteString(c.conn, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err, "the server keeps reading")
		time.Sleep(time.Millisecond)
	}
	go s.Close(time.Second)
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.closed }, time.Second, time.Millisecond)
	_, err := io.WriteString(c.conn, "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err, "the server keeps reading while it closes")
	_, body := c.receive()
	require.Equal(t, "GET /1 ", body)
	c.closed()
}

func TestExpectedContinueIsSent(t *testing.T) {
	_, dial := startServer(t, testLimits(), echo)
	c := dial()
	c.send("POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	line, err := c.in.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
	_, err = c.in.ReadString('\n')
	require.NoError(t, err)
	c.send("ok")
	_, body := c.receive()
	require.Equal(t, "POST /x ok", body)
}

func TestResponseToHeadHasNoBody(t *testing.T) {
	_, dial := startServer(t, testLimits(), echo)
	c := dial()
	c.send("HEAD /x HTTP/1.1\r\nHost: h\r\n\r\nGET /y HTTP/1.1\r\nHost: h\r\n\r\n")
	r, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodHead})
	require.NoError(t, err)
	require.EqualValues(t, len("HEAD /x "), r.ContentLength)
	require.NoError(t, r.Body.Close())
	_, body := c.receive()
	require.Equal(t, "GET /y ", body)
}

// FuzzConnection feeds arbitrary bytes from a client. The connection must be answered or
// closed without a panic.
func FuzzConnection(f *testing.F) {
	for _, text := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.0\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", "\x00\r\n\r\n", "",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		serverSide, clientSide := net.Pipe()
		c := newConn(New(testConfig(testLimits(), echo)), serverSide)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			c.run()
		}()
		go func() {
			_, _ = clientSide.Write(data) // the server may close the connection first
			_ = clientSide.Close()
		}()
		_, _ = io.Copy(io.Discard, clientSide)
		<-ended
	})
}
