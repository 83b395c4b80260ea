package proxynode

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/catalogue"
)

// stopTestTimeout is a route timeout beyond the end of every stop in these tests.
const stopTestTimeout = 10 * time.Second

// longStop leaves 0.3 s for the proof that a call has not run, so that a busy machine fails no
// test.
const longStop = "5s"

// slowRoute is a route whose requests may last longer than a stop.
func slowRoute(service string, idempotent bool) catalogue.Route {
	r := route(service, idempotent)
	r.Limits.TimeoutMs = int(stopTestTimeout.Milliseconds())
	return r
}

// pipelinedClient is one kept connection of a client.
type pipelinedClient struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func dialNode(t *testing.T, v *vm) *pipelinedClient {
	t.Helper()
	conn, err := net.Dial("tcp", v.node.clientListener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &pipelinedClient{t: t, conn: conn, in: bufio.NewReader(conn)}
}

// send sends a request without waiting for the response.
func (c *pipelinedClient) send(method, path, id string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, method+" "+path+" HTTP/1.1\r\nHost: door.example\r\nRequest-Id: "+id+
		"\r\nRemaining-Ms: 10000\r\nContent-Length: 0\r\n\r\n")
	require.NoError(c.t, err)
}

// receive returns the next response and its body.
func (c *pipelinedClient) receive() (wholeResponse, string) {
	c.t.Helper()
	require.NoError(c.t, c.conn.SetReadDeadline(time.Now().Add(stopTestTimeout)))
	r, err := http.ReadResponse(c.in, nil)
	require.NoError(c.t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(c.t, err)
	require.NoError(c.t, r.Body.Close())
	return wholeResponse{StatusCode: r.StatusCode, Header: r.Header}, string(body)
}

// TestPlannedStopWritesReadyResponses guards against a stop that drops whole responses which
// wait behind a slower request of the same connection.
func TestPlannedStopWritesReadyResponses(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		f := newFleet(t, slowRoute("slow", idempotent), slowRoute("quick", true))
		entry := f.add("door", http.NotFound)
		running := make(chan struct{})
		f.add("slow", func(_ http.ResponseWriter, r *http.Request) {
			close(running)
			<-r.Context().Done()
		})
		f.add("quick", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
		f.publish()
		c := dialNode(t, entry)
		c.send(http.MethodPost, "/slow/1", "id-1")
		<-running
		c.send(http.MethodGet, "/quick/1", "id-2")
		entry.stop()
		first, _ := c.receive()
		require.Equal(t, http.StatusBadGateway, first.StatusCode, "it may have run, so nothing is promised")
		require.Equal(t, "id-1", first.Header.Get("Request-Id"))
		require.Empty(t, first.Header.Get("Retry-After"))
		second, body := c.receive()
		require.Equal(t, http.StatusOK, second.StatusCode)
		require.Equal(t, "id-2", second.Header.Get("Request-Id"))
		require.Equal(t, "whole", body)
	}
}

// TestPlannedStopAnswersInterruptedUpload guards against a stop that closes the connection of a
// client that is still sending its request.
func TestPlannedStopAnswersInterruptedUpload(t *testing.T) {
	f := newFleet(t, slowRoute("stock", false))
	entry := f.add("stock", func(http.ResponseWriter, *http.Request) { t.Error("an incomplete request was run") })
	f.publish()
	c := dialNode(t, entry)
	_, err := io.WriteString(c.conn, "POST /stock/1 HTTP/1.1\r\nHost: door.example\r\nRequest-Id: id-1\r\nContent-Length: 10\r\n\r\nabc")
	require.NoError(t, err)
	entry.stop()
	r, _ := c.receive()
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	require.NotEmpty(t, r.Header.Get("Retry-After"))
}

// TestPlannedStopRefusesRequestsThatNoEndpointGot guards against a stop that cuts requests
// which wait for a slot of an endpoint: they have not run and never will, and their clients
// are told so.
func TestPlannedStopRefusesRequestsThatNoEndpointGot(t *testing.T) {
	for _, desc := range []string{"slot of another VM", "slot of the own VM"} {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, idempotent %v", desc, idempotent), func(t *testing.T) {
				later := slowRoute("stock", idempotent) // with an admission window of its own
				later.Name, later.Path = "r-later", "/later/"
				f := newFleet(t, slowRoute("stock", idempotent), later)
				f.stopTime = longStop
				door := f.add("door", http.NotFound)
				var running, waitingRan atomic.Int32
				finish := make(chan struct{})
				stock := f.add("stock", func(_ http.ResponseWriter, r *http.Request) {
					switch r.URL.Path {
					case "/stock/busy":
						running.Add(1)
						<-finish
					case "/later/1":
						waitingRan.Add(1)
					}
				})
				f.stopTime = "1s"
				other := f.add("other", http.NotFound)
				stopped := door
				if desc == "slot of the own VM" {
					stopped = stock
				}
				f.publish()
				r, _ := f.send(other, http.MethodPost, "/stock/first", "")
				require.Equal(t, http.StatusOK, r.StatusCode)
				const usableSlots = testSlots * 95 / 100
				for i := range usableSlots {
					dialNode(t, other).send(http.MethodPost, "/stock/busy", fmt.Sprint("busy-", i))
				}
				require.Eventually(t, func() bool { return running.Load() == usableSlots }, 10*time.Second, time.Millisecond)
				waits := dialNode(t, stopped)
				waits.send(http.MethodPost, "/later/1", "id-1")
				require.Eventually(t, func() bool { return stock.node.requestProxy.State().Queued == 1 }, 10*time.Second, time.Millisecond)
				stopped.stop()
				r, _ = waits.receive()
				require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
				require.Equal(t, "id-1", r.Header.Get("Request-Id"))
				require.NotEmpty(t, r.Header.Get("Retry-After"))
				require.Zero(t, stock.node.requestProxy.State().Queued, "it no longer waits when its client is told")
				close(finish)
				time.Sleep(settleTime)
				require.Zero(t, waitingRan.Load())
			})
		}
	}
}
