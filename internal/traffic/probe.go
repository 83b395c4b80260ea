package traffic

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/internal/event"
)

// pathHealth is the path of the endpoint's health page. Any answer, whatever its
// status and content, proves that the endpoint is responsive.
const pathHealth = "/-/health"

const (
	// healthBytesMax bounds the bytes read of the health page.
	healthBytesMax = 4 << 10
	// freshConnDelay is the time after which an unanswered probe is repeated on a
	// new connection.
	freshConnDelay = 150 * time.Millisecond
	// keptConnGrace is the time for the kept connection to answer after the new
	// one. After a pause of the endpoint both answer.
	keptConnGrace = 100 * time.Millisecond
)

// probeResult is the result of a probe of the endpoint.
type probeResult struct {
	alive      bool
	answered   bool
	draining   bool
	keptSilent bool // no answer on the kept connection, but on a new one
}

// healthPage holds the only field of the endpoint's health page that is evaluated.
// The others may be outdated or wrong, but an endpoint that reports draining will
// soon refuse calls.
type healthPage struct {
	Draining bool `json:"draining"`
}

// probeHealth probes the endpoint on a connection kept open for probes, and on a
// new one when there is no answer on the first.
func (e *endpoint) probeHealth(ctx context.Context) probeResult {
	e.readTracker.startProbe()
	kept := make(chan probeResult, 1)
	go func() { kept <- e.probeOver(ctx, e.keptProbeTransport) }()
	if result, ok := receiveWithin(kept, freshConnDelay); ok {
		return result
	}
	fresh := e.probeOver(ctx, e.freshProbeTransport)
	if !fresh.answered {
		return fresh
	}
	if result, ok := receiveWithin(kept, keptConnGrace); ok && result.alive {
		return result
	}
	fresh.keptSilent = true
	return fresh
}

// receiveWithin waits for a probe result for at most timeout.
func receiveWithin(results <-chan probeResult, timeout time.Duration) (result probeResult, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	select {
	case result = <-results:
		return result, true
	case <-ctx.Done():
		return probeResult{}, false
	}
}

// probeOver probes the endpoint over a transport. A refused connection counts as
// alive, because the endpoint isn't stalled then.
func (e *endpoint) probeOver(ctx context.Context, transport *http.Transport) probeResult {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.address+pathHealth, nil)
	if err != nil {
		return probeResult{alive: true}
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return probeResult{alive: ctx.Err() == nil}
	}
	defer func() { _ = response.Body.Close() }() // the rest of the page is not needed
	var h healthPage
	if err := json.NewDecoder(io.LimitReader(response.Body, healthBytesMax)).Decode(&h); err != nil {
		return probeResult{alive: true, answered: true}
	}
	return probeResult{alive: true, answered: true, draining: h.Draining}
}

// abandonSilentConnections closes idle connections to the endpoint after a probe
// found one that carries no data, and cancels idempotent calls in flight, which
// are then retried elsewhere. The calls are not cancelled if data arrived on any
// older connection since the probe began, because they may merely be slow.
// Non-idempotent calls keep waiting, because they may still complete.
func (t *Traffic) abandonSilentConnections() {
	t.config.Log.Emit(event.ConnectionSilent, "", event.F("vm", t.config.Settings.VM))
	t.local.sender.transport.CloseIdleConnections()
	if !t.local.readTracker.received.Load() {
		t.parents.cancelIdempotent()
	}
}

// readTracker detects whether data arrived on connections to the endpoint that
// were opened before the current probe.
type readTracker struct {
	probes   atomic.Int64 // number of probes started
	received atomic.Bool
}

// startProbe begins to track reads on the connections that are open now.
func (r *readTracker) startProbe() {
	r.received.Store(false)
	r.probes.Add(1)
}

// wrapDial returns a DialFunc whose connections are tracked.
func (r *readTracker) wrapDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn, readTracker: r, probes: r.probes.Load()}, nil
	}
}

// trackedConn is a connection whose reads are tracked.
type trackedConn struct {
	net.Conn
	readTracker *readTracker
	probes      int64 // number of probes before it was opened
}

// Read records whether data arrived on an older connection.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.probes < c.readTracker.probes.Load() {
		c.readTracker.received.Store(true)
	}
	return n, err
}
