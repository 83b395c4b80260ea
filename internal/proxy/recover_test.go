package proxy

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/stopping"
	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/memory"
	"github.com/galenacart/galenacart/internal/message"
	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/settings"
)

// TestPanicFailsOnlyItsCall checks that after a panic in a call's handler the process
// continues, the call's outcome is unknown and the endpoint's slot is released.
func TestPanicFailsOnlyItsCall(t *testing.T) {
	lines := &bytes.Buffer{}
	config := Config{
		Settings: &settings.Mesh{Service: "stock", EndpointAddress: "127.0.0.1:1"}, View: &fleetview.Holder{}, SharedState: noSharedState{}, Metrics: metrics.NewSet(),
		Log: event.NewLog(lines, "node", "vm", zerolog.InfoLevel), Now: func() time.Duration { return 0 }, Memory: memory.NewBudget(1 << 30),
	}
	m := New(config)
	defer m.Close()

	pool := m.server.pool
	m.server.pool = nil // the code panics where it sends a call to the endpoint
	reply := m.server.handle(context.Background(), &calllink.Call{Service: "stock", Route: "r", RemainingMs: 1000, Method: "GET"})
	require.Zero(t, reply.Status)
	require.Equal(t, calllink.NotRefused, reply.Refused, "it may have run")
	require.Zero(t, m.server.inFlight())
	require.Contains(t, lines.String(), "work_panicked")

	lines.Reset()
	m.requestRouter.stop = func() stopping.Stop { panic("in the router") }
	v := threeServices()
	v.Index = catalogue.NewIndex(&catalogue.Catalogue{
		Classes: []catalogue.Class{{Name: "0"}},
		Routes:  []catalogue.Route{{Name: "r", Class: "0", Host: "a.example", Path: "/x/", Service: "stock"}},
	})
	m.config.View.Store(v)
	a := m.Serve(context.Background(), &message.Request{Method: "GET", Target: "/x/", Host: "a.example", Header: http.Header{}})
	require.Equal(t, http.StatusBadGateway, a.Status, "the request may have run")
	require.Contains(t, lines.String(), "in the router")
	m.server.pool = pool
}
