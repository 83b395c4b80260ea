package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/memory"
	"github.com/galenacart/galenacart/internal/message"
)

// memoryTestTimeout is far longer than anything that these tests wait for.
const memoryTestTimeout = 10 * time.Second

// largeBodyBytes is far beyond the reserve of a connection.
const largeBodyBytes = 1 << 20

// memoryServer is a server with its budget.
type memoryServer struct {
	*Server
	t       *testing.T
	budget  *memory.Budget
	address string
}

func startMemoryServer(t *testing.T, processBytes int, handler Handler, change func(*Config)) *memoryServer {
	t.Helper()
	limits := testLimits()
	limits.BodyBytes = 16 * largeBodyBytes
	limits.HeaderBytes = 16 << 10
	c := testConfig(limits, handler)
	c.Memory = memory.NewBudget(processBytes)
	if change != nil {
		change(&c)
	}
	s := &memoryServer{Server: New(c), t: t, budget: c.Memory}
	c.Memory.SetEvict(s.EvictStalled)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = l.Addr().String()
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		require.NoError(t, l.Close())
		s.Close(0)
		require.NoError(t, <-served)
		require.Zero(t, s.budget.Used(), "after the end of the server")
	})
	return s
}

func (s *memoryServer) dial() *client {
	c := dialServer(s.t, s.address)
	require.NoError(s.t, c.conn.SetDeadline(time.Now().Add(memoryTestTimeout)))
	return c
}

// requireRunning waits until a request runs, and requires that it is charged.
func (s *memoryServer) requireRunning() {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.InFlight() == 1 }, memoryTestTimeout, time.Millisecond)
	require.Greater(s.t, s.budget.Used(), largeBodyBytes/2)
}

// requireHeld waits until the budget is used by more than n bytes.
func (s *memoryServer) requireHeld(n int) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.budget.Used() > n }, memoryTestTimeout, time.Millisecond)
}

func (s *memoryServer) requireFree() {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.budget.Used() == 0 }, memoryTestTimeout, time.Millisecond, "%d bytes are held", s.budget.Used())
}

// largeRequest returns a request with a body, of which the last bytes are missing.
func largeRequest(missing int) string {
	return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", largeBodyBytes) + strings.Repeat("x", largeBodyBytes-missing)
}

// TestMemoryIsReleasedOnEachWayOut checks that a request returns what it holds, however it ends.
func TestMemoryIsReleasedOnEachWayOut(t *testing.T) {
	tests := []struct {
		desc string
		play func(s *memoryServer, c *client, finish func())
	}{
		{"answered", func(s *memoryServer, c *client, finish func()) {
			c.send(largeRequest(0))
			s.requireRunning()
			finish()
			r, _ := c.receive()
			require.Equal(s.t, 200, r.StatusCode)
		}},
		{"the client leaves while the request runs", func(s *memoryServer, c *client, finish func()) {
			c.send(largeRequest(0))
			s.requireRunning()
			_ = c.conn.Close()
			finish()
		}},
		{"the client leaves while the body arrives", func(s *memoryServer, c *client, _ func()) {
			c.send(largeRequest(1))
			s.requireHeld(largeBodyBytes / 2)
			_ = c.conn.Close()
		}},
		{"the body is too large", func(_ *memoryServer, c *client, _ func()) {
			c.send("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
			chunk := fmt.Sprintf("%x\r\n%s\r\n", largeBodyBytes, strings.Repeat("x", largeBodyBytes))
			for range 17 {
				if _, err := io.WriteString(c.conn, chunk); err != nil {
					break // the server has closed the connection
				}
			}
		}},
		{"a chunk is malformed", func(s *memoryServer, c *client, _ func()) {
			c.send("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
			c.send(fmt.Sprintf("%x\r\n%s\r\nzz\r\n", largeBodyBytes, strings.Repeat("x", largeBodyBytes)))
			r, _ := c.receive()
			require.Equal(s.t, 400, r.StatusCode)
		}},
		{"interrupted", func(s *memoryServer, c *client, finish func()) {
			c.send(largeRequest(0))
			s.requireRunning()
			s.InterruptAll()
			r, _ := c.receive()
			require.Equal(s.t, 502, r.StatusCode)
			finish()
		}},
		{"evicted", func(s *memoryServer, c *client, _ func()) {
			c.send(largeRequest(1))
			s.requireHeld(largeBodyBytes / 2)
			require.Eventually(s.t, func() bool { return s.EvictStalled(1) }, memoryTestTimeout, 10*time.Millisecond)
			r, body := c.receive()
			require.Equal(s.t, 503, r.StatusCode)
			require.Equal(s.t, "no memory\n", body)
			require.True(s.t, r.Close)
		}},
		{"the server stops while the body arrives", func(s *memoryServer, c *client, _ func()) {
			c.send(largeRequest(1))
			s.requireHeld(largeBodyBytes / 2)
			go s.Close(memoryTestTimeout)
			r, body := c.receive()
			require.Equal(s.t, 503, r.StatusCode)
			require.Equal(s.t, "not read\n", body)
		}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			done := make(chan struct{})
			s := startMemoryServer(t, 256<<20, func(_ context.Context, r *message.Request) *message.Response {
				<-done
				return echo(context.Background(), &message.Request{Method: r.Method})
			}, nil)
			finished := false
			finish := func() {
				if !finished {
					close(done)
				}
				finished = true
			}
			defer finish()
			test.play(s, s.dial(), finish)
			s.requireFree()
		})
	}
}

// TestAnswerThatIsNotReadIsHeld checks that an answer counts until it is written, and that the
// connection is given up when others need the memory.
func TestAnswerThatIsNotReadIsHeld(t *testing.T) {
	s := startMemoryServer(t, 256<<20, func(_ context.Context, r *message.Request) *message.Response {
		require.True(t, r.Memory.TryGrow(16*largeBodyBytes))
		return &message.Response{Status: 200, Header: http.Header{}, Body: message.NewBody(make([]byte, 16*largeBodyBytes))}
	}, nil)
	c := s.dial()
	c.send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	s.requireHeld(8 * largeBodyBytes)
	require.Never(t, func() bool { return s.budget.Used() == 0 }, stalledMin/4, stalledMin/20)
	require.Eventually(t, func() bool { return s.EvictStalled(1) }, memoryTestTimeout, 10*time.Millisecond)
	s.requireFree()
}

// TestStalledRequestMakesRoomForAnother has clients that stop short hold all that a client may.
func TestStalledRequestMakesRoomForAnother(t *testing.T) {
	s := startMemoryServer(t, 9*largeBodyBytes, echoSize, nil)
	for range 4 {
		s.dial().send(largeRequest(1))
	}
	s.requireHeld(3 * largeBodyBytes / 2)
	time.Sleep(stalledMin)
	c := s.dial()
	c.send(largeRequest(0))
	r, body := c.receive()
	require.Equal(t, 200, r.StatusCode, body)
	require.Equal(t, fmt.Sprint(largeBodyBytes), body)
}

// echoSize answers with the size of the request's body.
func echoSize(_ context.Context, r *message.Request) *message.Response {
	return &message.Response{Status: 200, Header: http.Header{}, Body: message.NewBody(fmt.Append(nil, r.Body.Len()))}
}

// TestPipelinedRequestWaitsForMemory checks that a client with requests that run waits to send
// more, and is not refused.
func TestPipelinedRequestWaitsForMemory(t *testing.T) {
	s := startMemoryServer(t, 6*largeBodyBytes, func(ctx context.Context, r *message.Request) *message.Response {
		time.Sleep(10 * time.Millisecond)
		return echoSize(ctx, r)
	}, nil)
	c := s.dial()
	const requests = 20
	go func() {
		for range requests {
			_, _ = io.WriteString(c.conn, largeRequest(0)) // a failure shows as a missing answer
		}
	}()
	for range requests {
		r, body := c.receive()
		require.Equal(t, 200, r.StatusCode, body)
		require.Equal(t, fmt.Sprint(largeBodyBytes), body)
	}
}

// TestSmallRequestIsServedWithoutFreeMemory checks that each connection has a reserve.
func TestSmallRequestIsServedWithoutFreeMemory(t *testing.T) {
	s := startMemoryServer(t, 6*largeBodyBytes, echo, nil)
	for range 100 {
		lease := s.budget.NewCall()
		for lease.TryGrow(1 << 10) {
			continue
		}
		defer lease.Release()
	}
	c := s.dial()
	c.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
	r, body := c.receive()
	require.Equal(t, 200, r.StatusCode)
	require.Equal(t, "POST /x ab", body)
}

// TestHeadThatDoesNotEndIsNotParsed checks that the parsed form, which is many times as large as
// the head, is charged only once the head is whole.
func TestHeadThatDoesNotEndIsNotParsed(t *testing.T) {
	const lines = 3000
	head := "GET /x HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", lines)
	running := make(chan struct{})
	finish := make(chan struct{})
	s := startMemoryServer(t, 256<<20, func(ctx context.Context, r *message.Request) *message.Response {
		close(running)
		<-finish
		return echo(ctx, r)
	}, nil)
	c := s.dial()
	c.send(head)
	require.Never(t, func() bool { return s.budget.Used() > 0 }, 200*time.Millisecond, 5*time.Millisecond, "the head is within the reserve")
	c.send("\r\n")
	<-running
	require.Greater(t, s.budget.Used(), lines*100)
	close(finish)
	r, _ := c.receive()
	require.Equal(t, 200, r.StatusCode)
	s.requireFree()
}

// TestLongestIdleConnectionMakesRoom checks that a server with as many connections as it may have
// closes the one that has been idle longest, and none with a request that runs.
func TestLongestIdleConnectionMakesRoom(t *testing.T) {
	finish := make(chan struct{})
	s := startMemoryServer(t, 256<<20, func(ctx context.Context, r *message.Request) *message.Response {
		if r.Target == "/slow" {
			<-finish
		}
		return echo(ctx, r)
	}, func(c *Config) { c.ConnectionsMax = 3 })
	ask := func(c *client) {
		c.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		r, _ := c.receive()
		require.Equal(t, 200, r.StatusCode)
	}
	busy, first, second := s.dial(), s.dial(), s.dial()
	busy.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	ask(first)
	ask(second)
	third := s.dial()
	ask(third)
	first.closed()
	ask(second)
	ask(third)
	close(finish)
	r, _ := busy.receive()
	require.Equal(t, 200, r.StatusCode)
}

// TestConnectionWithoutRoomIsClosedUnread checks that a new connection is closed when all others
// have requests that run.
func TestConnectionWithoutRoomIsClosedUnread(t *testing.T) {
	finish := make(chan struct{})
	s := startMemoryServer(t, 256<<20, func(ctx context.Context, r *message.Request) *message.Response {
		<-finish
		return echo(ctx, r)
	}, func(c *Config) { c.ConnectionsMax = 2 })
	busy := []*client{s.dial(), s.dial()}
	for _, c := range busy {
		c.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	require.Eventually(t, func() bool { return s.InFlight() == 2 }, memoryTestTimeout, time.Millisecond)
	s.dial().closed()
	close(finish)
	for _, c := range busy {
		r, _ := c.receive()
		require.Equal(t, 200, r.StatusCode)
	}
}
