package ingress

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/message"
)

// runUntilCancelled answers requests whose path contains "slow" when they are cancelled, and
// others at once with a body of the given size.
func runUntilCancelled(bodyBytes int) Handler {
	return func(ctx context.Context, r *message.Request) *message.Response {
		if strings.Contains(r.Target, "slow") {
			<-ctx.Done()
			return message.ErrorResponse(http.StatusGatewayTimeout, "cancelled")
		}
		return &message.Response{Status: http.StatusOK, Header: http.Header{}, Body: message.NewBody([]byte(strings.Repeat("x", bodyBytes)))}
	}
}

// TestInterruptBlockingWritesReadyResponses guards against ready responses that are dropped
// because a request in front of them is still running.
func TestInterruptBlockingWritesReadyResponses(t *testing.T) {
	const get = " HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := []struct {
		desc     string
		sent     string
		requests int
		want     []int // statuses, in order
		left     int   // requests without a response
	}{
		{"one slow request in front", "GET /slow" + get + "GET /a" + get, 2, []int{502, 200}, 0},
		{"two slow requests in front", "GET /slow" + get + "GET /slow" + get + "GET /a" + get, 3, []int{502, 502, 200}, 0},
		{"a slow request behind keeps running", "GET /slow" + get + "GET /a" + get + "GET /slow" + get, 3, []int{502, 200}, 1},
		{"nothing is held up", "GET /a" + get + "GET /slow" + get, 2, []int{200}, 1},
		{"the last one closes the connection", "GET /slow" + get + "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 2, []int{502, 200}, 0},
		{"HTTP/1.0 behind HTTP/1.1", "GET /slow" + get + "GET /a HTTP/1.0\r\n\r\n", 2, []int{502, 200}, 0},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var begun atomic.Int32
			handler := runUntilCancelled(5)
			s, dial := startServer(t, testLimits(), func(ctx context.Context, r *message.Request) *message.Response {
				begun.Add(1)
				return handler(ctx, r)
			})
			c := dial()
			c.send(test.sent)
			require.Eventually(t, func() bool { return int(begun.Load()) == test.requests }, 10*time.Second, time.Millisecond)
			require.Eventually(t, func() bool {
				s.InterruptBlocking()
				return s.InFlight() == test.left
			}, 10*time.Second, time.Millisecond)
			for _, want := range test.want {
				r, _ := c.receive()
				require.Equal(t, want, r.StatusCode)
			}
		})
	}
}

// TestInterruptAllAnswersEveryRequest guards against requests that end without an answer because
// the server closes.
func TestInterruptAllAnswersEveryRequest(t *testing.T) {
	s, dial := startServer(t, testLimits(), runUntilCancelled(5))
	c, head := dial(), dial()
	c.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\nGET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	head.send("HEAD /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, func() bool { return s.InFlight() == 3 }, 10*time.Second, time.Millisecond)
	s.DisableKeepAlives() // as at the start of each stop
	s.InterruptAll()
	s.Close(10 * time.Second)
	for _, closes := range []bool{false, true} {
		r, body := c.receive()
		require.Equal(t, http.StatusBadGateway, r.StatusCode)
		require.Equal(t, "interrupted\n", body)
		require.Equal(t, closes, r.Close)
	}
	c.closed()
	r, err := http.ReadResponse(head.in, &http.Request{Method: http.MethodHead})
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, r.StatusCode)
	require.NoError(t, r.Body.Close())
	head.closed()
}

// TestCloseAnswersRequestsThatAreStillArriving guards against a client that is cut off while it
// sends its request.
func TestCloseAnswersRequestsThatAreStillArriving(t *testing.T) {
	tests := []struct{ desc, sent string }{
		{"in the head", "POST /x HTTP/1.1\r\nHo"},
		{"in the body", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc"},
		{"in a chunk", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			s, dial := startServer(t, testLimits(), func(context.Context, *message.Request) *message.Response {
				t.Error("an incomplete request was run")
				return nil
			})
			c := dial()
			c.send(test.sent)
			require.Eventually(t, func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				for one := range s.conns {
					one.mu.Lock()
					defer one.mu.Unlock()
					return one.reading
				}
				return false
			}, 10*time.Second, time.Millisecond)
			go s.Close(10 * time.Second)
			r, body := c.receive()
			require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
			require.Equal(t, "not read\n", body)
			require.True(t, r.Close)
			c.closed()
		})
	}
}

// TestLateResponseOfAnInterruptedRequestIsDropped guards against two responses to one request.
func TestLateResponseOfAnInterruptedRequestIsDropped(t *testing.T) {
	s, dial := startServer(t, testLimits(), runUntilCancelled(5))
	c := dial()
	c.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, func() bool { return s.InFlight() == 1 }, 10*time.Second, time.Millisecond)
	s.InterruptAll()
	r, _ := c.receive()
	require.Equal(t, http.StatusBadGateway, r.StatusCode)
	c.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	r, body := c.receive()
	require.Equal(t, http.StatusOK, r.StatusCode)
	require.Equal(t, "xxxxx", body)
}

// TestSlowReaderDoesNotHoldUpOthers has one client read nothing while the server closes.
func TestSlowReaderDoesNotHoldUpOthers(t *testing.T) {
	const bodyBytes = 32 << 20 // more than the buffers of a connection hold
	s, dial := startServer(t, testLimits(), runUntilCancelled(bodyBytes))
	slow, other := dial(), dial()
	slow.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	other.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, func() bool { return s.InFlight() == 3 }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { s.InterruptBlocking(); return s.InFlight() == 2 }, 10*time.Second, time.Millisecond)
	s.InterruptAll()
	r, _ := other.receive()
	require.Equal(t, http.StatusBadGateway, r.StatusCode)
	go s.Close(20 * time.Second)
	r, _ = slow.receive()
	require.Equal(t, http.StatusBadGateway, r.StatusCode)
	whole, err := http.ReadResponse(slow.in, nil)
	require.NoError(t, err)
	n, err := io.Copy(io.Discard, whole.Body)
	require.NoError(t, err)
	require.EqualValues(t, bodyBytes, n)
	require.NoError(t, whole.Body.Close())
}

// TestInterruptDoesNotReadTheHandlersRequest guards against a process that ends since it reads the header
// of a request that the handler changes at the same time. The race detector judges.
func TestInterruptDoesNotReadTheHandlersRequest(t *testing.T) {
	s, dial := startServer(t, testLimits(), func(ctx context.Context, r *message.Request) *message.Response {
		r.Header.Del("X-Hop")
		<-ctx.Done()
		return message.ErrorResponse(http.StatusGatewayTimeout, "cancelled")
	})
	interrupted := make(chan string, 1)
	s.config.Interrupted = func(id string) *message.Response {
		interrupted <- id
		return message.ErrorResponse(http.StatusBadGateway, "interrupted")
	}
	c := dial()
	c.send("GET /a HTTP/1.1\r\nHost: h\r\nX-Hop: 1\r\nRequest-Id: id-1\r\n\r\n")
	require.Eventually(t, func() bool { return s.InFlight() == 1 }, 10*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond) // without a signal from the handler, which would order the accesses
	s.InterruptAll()
	require.Equal(t, "id-1", <-interrupted)
	require.Eventually(t, func() bool { return s.InFlight() == 0 }, 10*time.Second, time.Millisecond)
}
