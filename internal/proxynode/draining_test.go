package proxynode

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testDrain is the drain time of the nodes of a fleet, which is the default.
const testDrain = 2 * time.Second

// TestFurtherAttemptAvoidsEndpointThatHasLeft guards against further attempts that are placed by
// the state of the moment when their request arrived.
func TestFurtherAttemptAvoidsEndpointThatHasLeft(t *testing.T) {
	for _, gone := range []bool{false, true} {
		f := newFleet(t, slowRoute("stock", true))
		entry := f.add("door", http.NotFound)
		running, fail := make(chan struct{}), make(chan struct{})
		var attempts atomic.Int32
		handler := func(w http.ResponseWriter, _ *http.Request) {
			if attempts.Add(1) == 1 {
				close(running)
				<-fail
				w.WriteHeader(http.StatusInternalServerError)
			}
		}
		both := []*vm{f.add("stock", handler), f.add("stock", handler)}
		f.publish()
		status := make(chan int, 1)
		go func() {
			r, _ := f.send(entry, http.MethodGet, "/stock/1", "")
			status <- r.StatusCode
		}()
		<-running
		for _, v := range both {
			v.leaving, v.gone = !gone, gone
		}
		f.publish()
		close(fail)
		require.Equal(t, http.StatusInternalServerError, <-status, "no endpoint is left for a further attempt")
		require.EqualValues(t, 1, attempts.Load())
	}
}

// TestLeavingEndpointRefusesCallsOfUninformedNodes guards against calls of nodes that don't know
// yet that an endpoint is leaving: its own node is the last that can tell. The calls go to
// another endpoint.
func TestLeavingEndpointRefusesCallsOfUninformedNodes(t *testing.T) {
	for _, gone := range []bool{false, true} {
		t.Run(fmt.Sprintf("gone %v", gone), func(t *testing.T) {
			f := newFleet(t, route("stock", false))
			entry := f.add("door", http.NotFound)
			var arrived atomic.Int32
			leaver := f.add("stock", func(http.ResponseWriter, *http.Request) { arrived.Add(1) })
			f.publish()
			r, _ := f.send(entry, http.MethodPost, "/stock/1", "")
			require.Equal(t, http.StatusOK, r.StatusCode)
			f.add("stock", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "other") })
			f.publish()

			leaver.leaving, leaver.gone = !gone, gone
			f.publishTo(f.sources[1], f.sources[2])
			time.Sleep(testDrain)
			arrived.Store(0)
			for range 20 {
				r, body := f.send(entry, http.MethodPost, "/stock/1", "")
				require.Equal(t, http.StatusOK, r.StatusCode)
				require.Equal(t, "other", body)
			}
			require.Zero(t, arrived.Load())

			leaver.leaving, leaver.gone = false, false
			leaver.restarts++
			f.publish()
			require.Eventually(t, func() bool {
				r, _ := f.send(entry, http.MethodPost, "/stock/1", "")
				require.Equal(t, http.StatusOK, r.StatusCode)
				return arrived.Load() > 0
			}, 10*time.Second, time.Millisecond, "its next run is not leaving")
		})
	}
}

// busyEndpoint is an endpoint whose calls of one route keep all usable slots until they are
// released, and a route of the same service that waits behind them.
type busyEndpoint struct {
	fleet          *fleet
	entry, leaver  *vm
	running, later atomic.Int32 // calls that arrived, by route
	release        chan struct{}
	setLeaving     atomic.Bool // its answers say that it is leaving
}

// usableTestSlots is the part of testSlots that a node uses.
const usableTestSlots = testSlots * 95 / 100

func newBusyEndpoint(t *testing.T, idempotent bool) *busyEndpoint {
	t.Helper()
	later := slowRoute("stock", idempotent) // with an admission window of its own
	later.Name, later.Path = "r-later", "/later/"
	b := &busyEndpoint{fleet: newFleet(t, slowRoute("stock", idempotent), later), release: make(chan struct{}, testSlots)}
	b.entry = b.fleet.add("door", http.NotFound)
	b.leaver = b.fleet.add("stock", func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/stock/busy":
			b.running.Add(1)
			<-b.release
		case "/later/1":
			b.later.Add(1)
		}
		if b.setLeaving.Load() {
			w.Header().Set("Leaving", "1")
		}
	})
	b.fleet.publish()
	r, _ := b.fleet.send(b.entry, http.MethodPost, "/stock/first", "")
	require.Equal(t, http.StatusOK, r.StatusCode)
	for i := range usableTestSlots {
		dialNode(t, b.entry).send(http.MethodPost, "/stock/busy", fmt.Sprint("busy-", i))
	}
	require.Eventually(t, func() bool { return b.running.Load() == usableTestSlots }, 10*time.Second, time.Millisecond)
	t.Cleanup(func() { close(b.release) })
	return b
}

// queueOne sends a request that waits for a slot.
func (b *busyEndpoint) queueOne(t *testing.T) *pipelinedClient {
	t.Helper()
	waits := dialNode(t, b.entry)
	waits.send(http.MethodPost, "/later/1", "id-1")
	require.Eventually(t, func() bool { return b.leaver.node.requestProxy.State().Queued == 1 }, 10*time.Second, time.Millisecond)
	return waits
}

// TestQueuedCallsLeaveWithTheirEndpoint guards against calls that waited for a slot and are handed
// over to an endpoint long after it began to leave. They go to another endpoint meanwhile.
func TestQueuedCallsLeaveWithTheirEndpoint(t *testing.T) {
	tests := []struct {
		desc  string
		leave func(b *busyEndpoint)
	}{
		{"listed as leaving", func(b *busyEndpoint) { b.leaver.leaving = true; b.fleet.publish() }},
		{"no longer listed", func(b *busyEndpoint) { b.leaver.gone = true; b.fleet.publish() }},
		{"says so in an answer", func(b *busyEndpoint) { b.setLeaving.Store(true); b.release <- struct{}{} }},
	}
	for _, test := range tests {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, idempotent %v", test.desc, idempotent), func(t *testing.T) {
				b := newBusyEndpoint(t, idempotent)
				waits := b.queueOne(t)
				b.fleet.add("stock", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "other") })
				b.fleet.publish()
				test.leave(b)
				r, body := waits.receive()
				require.Equal(t, http.StatusOK, r.StatusCode)
				require.Equal(t, "other", body)
				require.Zero(t, b.later.Load())
			})
		}
	}
}

// TestLeavingEndpointsWithoutAnotherRefuseTheirQueue has the last endpoint of a service leave: what
// it can't run any more has not run.
func TestLeavingEndpointsWithoutAnotherRefuseTheirQueue(t *testing.T) {
	b := newBusyEndpoint(t, false)
	waits := b.queueOne(t)
	b.leaver.leaving = true
	b.fleet.publish()
	r, _ := waits.receive()
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	require.NotEmpty(t, r.Header.Get("Retry-After"))
	require.Zero(t, b.later.Load())
}

// TestQueuedCallsRunWithinTheDrain guards against work that a leaving endpoint could still complete
// and that becomes load elsewhere.
func TestQueuedCallsRunWithinTheDrain(t *testing.T) {
	b := newBusyEndpoint(t, false)
	waits := b.queueOne(t)
	b.leaver.leaving = true
	b.fleet.publish()
	b.release <- struct{}{}
	r, _ := waits.receive()
	require.Equal(t, http.StatusOK, r.StatusCode)
	require.EqualValues(t, 1, b.later.Load())
}
