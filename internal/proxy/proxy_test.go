package proxy

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/pressure"
	"github.com/galenacart/galenacart/decision/retry"
	"github.com/galenacart/galenacart/decision/stopping"
	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/problem"
	"github.com/galenacart/galenacart/internal/settings"
)

// noSharedState is a node that needs no state from others and has none to send.
type noSharedState struct{}

func (noSharedState) NeedsState() bool    { return false }
func (noSharedState) ExportState() []byte { return nil }
func (noSharedState) ImportState([]byte)  {}

// threeServices returns a view of three services with two endpoints each.
func threeServices() *fleetview.View {
	v := &fleetview.View{ByService: make(map[string][]*fleetview.Member), ByVM: make(map[string]*fleetview.Member)}
	for _, vm := range []string{"door-1", "door-2", "stock-1", "stock-2", "terms-1", "terms-2"} {
		m := &fleetview.Member{VM: vm, Service: vm[:len(vm)-2], EndpointInstance: vm}
		v.ByVM[vm] = m
		v.ByService[m.Service] = append(v.ByService[m.Service], m)
	}
	return v
}

func TestCallOriginsRecogniseInternalRoutes(t *testing.T) {
	tests := []struct {
		desc     string
		from     []string // calling services, in turn
		calls    int
		internal bool
	}{
		{"clients at all services", []string{"door", "stock", "terms"}, 60, false},
		{"calls of one service", []string{"door"}, 60, true},
		{"calls of two services out of three", []string{"door", "stock"}, 60, true},
		{"too few calls to decide", []string{"door"}, 20, false},
		{"a service that calls rarely counts as calling", []string{"door", "stock", "door", "stock", "terms"}, 60, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			o, v := newCallOrigins(), threeServices()
			internal := false
			for i := range test.calls {
				internal = o.record("r", test.from[i%len(test.from)], v)
			}
			require.Equal(t, test.internal, internal)
		})
	}
}

func TestCallOriginsDecay(t *testing.T) {
	o, v := newCallOrigins(), threeServices()
	for range 5 * callCountMax {
		o.record("r", "door", v)
	}
	internal := true
	for i := range 2 * callCountMax {
		internal = o.record("r", []string{"door", "stock", "terms"}[i%3], v)
	}
	require.False(t, internal)
	o.retain(map[string]bool{"other": true})
	require.Empty(t, o.routes)
}

func TestChainPressureIsMeanOfRecentReports(t *testing.T) {
	now := time.Duration(0)
	p := newChainPressures(func() time.Duration { return now })
	require.Zero(t, p.pressure("r"), "no report yet")
	p.record("r", "vm-1", &calllink.Load{PressurePermille: 2000})
	p.record("r", "vm-2", &calllink.Load{PressurePermille: 1000})
	require.InDelta(t, 1.5, p.pressure("r"), 1e-9)

	now = pressureFreshFor
	p.record("r", "vm-2", &calllink.Load{PressurePermille: 1000})
	now += 4 * pressureDecayTime
	p.record("r", "vm-2", &calllink.Load{PressurePermille: 1000})
	require.InDelta(t, 1.0, p.pressure("r"), 0.05, "a node that stops reporting counts less")

	now += pressureFreshFor + 5*pressureDecayTime
	require.Less(t, p.pressure("r"), 0.1, "the pressure decays without newer reports")
	now += pressureMaxAge
	require.Zero(t, p.pressure("r"))
}

func TestRefusalsCountOnlyWhenAllEndpointsRefuse(t *testing.T) {
	p := newChainPressures(func() time.Duration { return 0 })
	p.record("r", "vm-1", &calllink.Load{PressurePermille: 300, RefusalPermille: 550})
	p.record("r", "vm-2", &calllink.Load{PressurePermille: 300})
	require.InDelta(t, 0.3, p.pressure("r"), 1e-9, "another endpoint accepts calls")
	p.record("r", "vm-2", &calllink.Load{PressurePermille: 300, RefusalPermille: 500})
	require.InDelta(t, 2.0, p.pressure("r"), 1e-9)
	p.record("r", "vm-2", &calllink.Load{Leaving: true})
	require.Greater(t, p.pressure("r"), 2.0, "a leaving endpoint doesn't change the share of the others")
}

func TestRouteWithoutEndpointsCountsAsPressure(t *testing.T) {
	now := time.Second
	c := newChainPressures(func() time.Duration { return now })
	c.record("r", "stock-1", &calllink.Load{PressurePermille: 300})
	require.InDelta(t, 0.3, c.pressure("r"), 1e-9)
	c.recordUnreachable("r")
	require.InDelta(t, pressure.FromRefusalShare(1), c.pressure("r"), 1e-9, "earlier reports are dropped")
	now += pressureFreshFor + pressureDecayTime
	require.Less(t, c.pressure("r"), pressure.FromRefusalShare(1)/2, "it decays, so that the route is soon tried again")
	c.recordUnreachable("r")
	c.record("r", "stock-1", &calllink.Load{PressurePermille: 400})
	require.InDelta(t, 0.4, c.pressure("r"), 1e-9, "a report replaces it")
}

// TestRetryBudgetIsSmallerForRoutesWithDownstreamCalls guards against load amplification: a retry of a
// request that makes calls of its own repeats all of them.
func TestRetryBudgetIsSmallerForRoutesWithDownstreamCalls(t *testing.T) {
	granted := func(downstream, ran bool) (n int) {
		now := retryWindow
		router := newTestRouter(func() time.Duration { return now })
		load := &calllink.Load{CallsDownstream: downstream}
		if downstream {
			load.Depth = 1
		}
		router.pressures.record("r", "stock-1", load)
		router.pressures.record("r", "stock-2", &calllink.Load{Depth: retry.DepthUnknown}) // has just started
		p := &routedRequest{router: router, view: threeServices(), route: &catalogue.Route{Name: "r", Idempotent: true}, service: "stock"}
		for range 100 {
			router.targets.countCall("stock", retryWindow)
		}
		now += time.Second
		for p.takeRetry(&fleetview.Member{VM: "stock-1"}, ran) {
			n++
		}
		return n
	}
	// 0.55 of the fleet's ratio of 0.2 for 100 calls, and of a sixth of its allowance of 60
	const leaf = 16
	require.Equal(t, 2, granted(true, true))
	require.Equal(t, leaf, granted(true, false), "a request that did not run made no calls")
	require.Equal(t, leaf, granted(false, true))
}

// TestRefusedCallsThatReachedAnEndpointSpendTheRetryBudget has all endpoints refuse one request after another.
func TestRefusedCallsThatReachedAnEndpointSpendTheRetryBudget(t *testing.T) {
	tests := []struct {
		refusal calllink.Refusal
		spends  bool
	}{
		{calllink.RefusedByEndpoint, true},
		{calllink.RefusedMisdirected, true},
		{calllink.RefusedUnreachable, false},
		{calllink.RefusedCircuitOpen, false},
		{calllink.RefusedNoCapacity, false},
	}
	for _, test := range tests {
		router := newTestRouter(func() time.Duration { return 0 })
		p := &routedRequest{router: router, view: threeServices(), route: &catalogue.Route{Name: "r"}, service: "stock"}
		again := 0
		for again < 100 && p.recordRefusal(&fleetview.Member{VM: "stock-1"}, &calllink.Reply{Refused: test.refusal}) {
			again++
		}
		require.Equal(t, test.spends, again < 100, "refusal %d", test.refusal)
	}
}

// newTestRouter returns a router of a fleet with a retry budget.
func newTestRouter(now func() time.Duration) *requestRouter {
	return newRequestRouter(Config{
		SharedState: noSharedState{},
		Settings:    &settings.Mesh{VM: "door-1"},
		Now:         now,
		RetryBudget: func() retry.FleetBudget { return retry.FleetBudget{Ratio: 0.2, Allowance: 60, Window: retryWindow} },
		Log:         event.NewLog(io.Discard, "node", "door-1", zerolog.InfoLevel),
		Metrics:     metrics.NewSet(),
	}, func() stopping.Stop { return stopping.Stop{} })
}

const retryWindow = 10 * time.Second

// TestDepthSurvivesReportsOfNewProcesses has one node know the depth of a route, one that has
// just started, and then a release in which the route makes fewer calls.
func TestDepthSurvivesReportsOfNewProcesses(t *testing.T) {
	now := time.Duration(0)
	c := newChainPressures(func() time.Duration { return now })
	require.Equal(t, retry.DepthUnknown, c.depth("r"))
	report := func(vm string, depth retry.Depth) { c.record("r", vm, &calllink.Load{Depth: depth}) }
	report("stock-1", 2)
	report("stock-2", retry.DepthUnknown)
	report("stock-3", 0)
	require.EqualValues(t, 2, c.depth("r"))
	now += pressureMaxAge + 1
	report("stock-2", retry.DepthUnknown)
	require.EqualValues(t, 2, c.depth("r"))
	report("stock-1", 1)
	require.EqualValues(t, 1, c.depth("r"))
}

// TestOneCallProbesSlowEndpoint checks that an endpoint that was too slow for a route gets
// exactly one call once its typical time has expired: it is neither excluded for good nor
// flooded.
func TestOneCallProbesSlowEndpoint(t *testing.T) {
	now := time.Second
	c := Config{SharedState: noSharedState{}, Now: func() time.Duration { return now }, Settings: &settings.Mesh{VM: "door-1", AvailabilityZone: "a"}}
	targets := newTargets(c, nil)
	near := &fleetview.Member{VM: "terms-1", EndpointInstance: "near", AvailabilityZone: "a"}
	far := &fleetview.Member{VM: "terms-2", EndpointInstance: "far", AvailabilityZone: "b"}
	members := []*fleetview.Member{near, far}
	pick := func() *fleetview.Member { return targets.pick(members, "r", time.Second, nil) }
	reportTypicalTime := func(m *fleetview.Member, typicalMs int) {
		targets.recordOutcome(m, "r", callOutcome{load: &calllink.Load{Limit: 10, TypicalMs: typicalMs}})
	}
	require.Equal(t, near, pick())
	reportTypicalTime(near, 950)
	require.Equal(t, far, pick())
	reportTypicalTime(far, 300)

	now += typicalTimeMaxAge + time.Millisecond
	require.Equal(t, near, pick(), "the typical time has expired")
	require.Equal(t, far, pick(), "one call is enough to measure it")
	reportTypicalTime(far, 300)
	reportTypicalTime(near, 300)
	require.Equal(t, near, pick(), "the new typical time is used")
}

// TestOverloadTakesPrecedenceOverUnreachable checks that a request that one endpoint
// refused because of load, while another was down, counts as refused because of load.
// Otherwise the route would count as one without endpoints.
func TestOverloadTakesPrecedenceOverUnreachable(t *testing.T) {
	for _, test := range []struct {
		desc  string
		kinds []problem.Kind
		want  problem.Kind
	}{
		{"unreachable only", []problem.Kind{problem.KindUnreachable, problem.KindUnreachable}, problem.KindUnreachable},
		{"overloaded, then unreachable", []problem.Kind{problem.KindOverloaded, problem.KindUnreachable}, problem.KindOverloaded},
		{"unreachable, then overloaded", []problem.Kind{problem.KindUnreachable, problem.KindOverloaded}, problem.KindOverloaded},
		{"leaving, then unreachable", []problem.Kind{problem.KindLeaving, problem.KindUnreachable}, problem.KindUnreachable},
	} {
		t.Run(test.desc, func(t *testing.T) {
			p := &routedRequest{}
			for _, kind := range test.kinds {
				p.recordProblem(kind, "")
			}
			require.Equal(t, test.want, p.failure.Kind)
		})
	}
}

func TestTypicalTimesOfRemovedRoutesAreDropped(t *testing.T) {
	v := threeServices()
	v.Index = catalogue.NewIndex(&catalogue.Catalogue{Routes: []catalogue.Route{{Name: "kept"}}})
	c := Config{SharedState: noSharedState{}, Now: func() time.Duration { return 0 }, Settings: &settings.Mesh{VM: "door-1"}}
	targets := newTargets(c, nil)
	m := v.ByVM["terms-1"]
	for _, route := range []string{"kept", "removed"} {
		targets.recordOutcome(m, route, callOutcome{load: &calllink.Load{Limit: 10, TypicalMs: 10}})
	}
	targets.retain(v)
	require.Len(t, targets.states[m.EndpointInstance].typicalTimes, 1)
	require.Contains(t, targets.states[m.EndpointInstance].typicalTimes, "kept")
}
