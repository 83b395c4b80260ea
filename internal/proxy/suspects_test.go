package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/quarantine"
	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/memory"
	"github.com/galenacart/galenacart/internal/message"
	"github.com/galenacart/galenacart/internal/settings"
)

// TestLossesAreSentBeforeCall checks that losses reach the endpoint's node before the
// call. Nodes of one service may be partitioned from each other while a router reaches
// both.
func TestLossesAreSentBeforeCall(t *testing.T) {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	other := quarantine.New()
	known := 0
	answer := func(_ context.Context, call *calllink.Call) *calllink.Reply {
		known = other.CrashCount(fingerprint(call.CallerService, call.Request()))
		return &calllink.Reply{Status: http.StatusOK}
	}
	learn := func(losses []quarantine.Loss) { other.Merge(now(), losses) }
	acceptor := calllink.NewAcceptor(answer, func([]byte) {}, learn, now, memory.NewBudget(1<<30))
	server := httptest.NewServer(acceptor)
	defer server.Close()
	defer acceptor.Close()

	e := newRequestRouter(Config{
		SharedState: noSharedState{}, Now: now, Settings: &settings.Mesh{VM: "door-1", Service: "door", EndpointAddress: "127.0.0.1:1"}, View: &fleetview.Holder{},
		Log: event.NewLog(io.Discard, "node", "vm", zerolog.InfoLevel),
	}, nil)
	defer e.close()
	p := &routedRequest{
		router: e, route: &catalogue.Route{Name: "r"}, service: "stock", deadline: now() + 10*time.Second,
		request: &message.Request{Method: "GET", Target: "/stock/1", Host: "a.example", Header: http.Header{}},
	}
	e.suspectTracker.recordCrash(startedRequest{fingerprint: fingerprint("door", p.request), route: "r"}, 1)
	_, err := p.send(t.Context(), &fleetview.Member{VM: "stock-1", PeerAddress: server.Listener.Addr().String()})
	require.NoError(t, err)
	require.Equal(t, 1, known, "the loss is known when the call arrives")
}

// TestFingerprint checks that requests differ by their content and the service that sends them, and not
// by their IDs.
func TestFingerprint(t *testing.T) {
	request := func() *message.Request {
		return &message.Request{Method: "POST", Host: "a.example", Target: "/a?b", Header: http.Header{"Id": {"1"}}, Body: message.NewBody([]byte("c"))}
	}
	print0 := fingerprint("door", request())
	same := request()
	same.Header.Set("Id", "2")
	require.Equal(t, print0, fingerprint("door", same))
	require.NotEqual(t, print0, fingerprint("stock", request()))
	require.NotEqual(t, fingerprint("doorP", request()), print0)
	for _, change := range []func(r *message.Request){
		func(r *message.Request) { r.Method = "PUT" },
		func(r *message.Request) { r.Host = "b.example" },
		func(r *message.Request) { r.Target = "/a?c" },
		func(r *message.Request) { r.Body = message.NewBody([]byte("d")) },
		func(r *message.Request) { r.Target, r.Body = "/a?", message.NewBody([]byte("bc")) },
	} {
		r := request()
		change(r)
		require.NotEqual(t, print0, fingerprint("door", r))
	}
}
