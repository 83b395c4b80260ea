package proxy

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/pressure"
	"github.com/galenacart/galenacart/decision/stopping"
	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/problem"
	"github.com/galenacart/galenacart/internal/settings"
)

// knownState is a node that needs nothing from others and has nothing for them.
type knownState struct{}

func (knownState) NeedsState() bool    { return false }
func (knownState) ExportState() []byte { return nil }
func (knownState) ImportState([]byte)  {}

// threeServices is a view of three services with two endpoints each.
func threeServices() *fleetview.View {
	v := &fleetview.View{ByService: make(map[string][]*fleetview.Member), ByVM: make(map[string]*fleetview.Member)}
	for _, vm := range []string{"door-1", "door-2", "stock-1", "stock-2", "terms-1", "terms-2"} {
		m := &fleetview.Member{VM: vm, Service: vm[:len(vm)-2], EndpointInstance: vm}
		v.ByVM[vm] = m
		v.ByService[m.Service] = append(v.ByService[m.Service], m)
	}
	return v
}

func TestOriginsTellClientsRoutesFromEndpointsOwn(t *testing.T) {
	tests := []struct {
		desc  string
		from  []string // services, in turn
		calls int
		inner bool
	}{
		{"clients stand beside all services", []string{"door", "stock", "terms"}, 60, false},
		{"one service calls", []string{"door"}, 60, true},
		{"two services call, a third never does", []string{"door", "stock"}, 60, true},
		{"too few calls to tell", []string{"door"}, 20, false},
		{"a service that asks little still asks", []string{"door", "stock", "door", "stock", "terms"}, 60, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			o, v := newOrigins(), threeServices()
			inner := false
			for i := range test.calls {
				inner = o.take("r", test.from[i%len(test.from)], v)
			}
			require.Equal(t, test.inner, inner)
		})
	}
}

func TestOriginsForgetTheirPast(t *testing.T) {
	o, v := newOrigins(), threeServices()
	for range 5 * originsMax {
		o.take("r", "door", v)
	}
	inner := true
	for i := range 2 * originsMax {
		inner = o.take("r", []string{"door", "stock", "terms"}[i%3], v)
	}
	require.False(t, inner)
	o.retain(map[string]bool{"other": true})
	require.Empty(t, o.routes)
}

func TestChainPressureIsTheMeanOfWhatWasToldLately(t *testing.T) {
	now := time.Duration(0)
	p := newChainPressures(func() time.Duration { return now })
	require.Zero(t, p.pressure("r"), "nothing is known")
	p.take("r", "vm-1", &calllink.Load{PressurePermille: 2000})
	p.take("r", "vm-2", &calllink.Load{PressurePermille: 1000})
	require.InDelta(t, 1.5, p.pressure("r"), 1e-9)

	now = toldFor
	p.take("r", "vm-2", &calllink.Load{PressurePermille: 1000})
	now += 4 * decayTime
	p.take("r", "vm-2", &calllink.Load{PressurePermille: 1000})
	require.InDelta(t, 1.0, p.pressure("r"), 0.05, "one that tells nothing any more counts less")

	now += toldFor + 5*decayTime
	require.Less(t, p.pressure("r"), 0.1, "where all is refused nothing newer comes")
	now += forgetAfter
	require.Zero(t, p.pressure("r"))
}

func TestRefusalsCountOnlyWhenAllEndpointsRefuse(t *testing.T) {
	p := newChainPressures(func() time.Duration { return 0 })
	p.take("r", "vm-1", &calllink.Load{PressurePermille: 300, RefusalPermille: 550})
	p.take("r", "vm-2", &calllink.Load{PressurePermille: 300})
	require.InDelta(t, 0.3, p.pressure("r"), 1e-9, "there is another one to go to")
	p.take("r", "vm-2", &calllink.Load{PressurePermille: 300, RefusalPermille: 500})
	require.InDelta(t, 2.0, p.pressure("r"), 1e-9)
	p.take("r", "vm-2", &calllink.Load{Leaving: true})
	require.Greater(t, p.pressure("r"), 2.0, "one that leaves tells nothing of the others")
}

// TestRequestsWithCallsAreRarelyRepeated holds that a repeat whose run makes
// calls of its own, all of which it repeats, has a far smaller budget.
func TestRouteWithoutEndpointsCountsAsPressure(t *testing.T) {
	now := time.Second
	c := newChainPressures(func() time.Duration { return now })
	c.take("r", "stock-1", &calllink.Load{PressurePermille: 300})
	require.InDelta(t, 0.3, c.pressure("r"), 1e-9)
	c.absent("r")
	require.InDelta(t, pressure.FromRefusalShare(1), c.pressure("r"), 1e-9, "what was told before holds no more")
	now += toldFor + decayTime
	require.Less(t, c.pressure("r"), pressure.FromRefusalShare(1)/2, "it is tried again soon")
	c.absent("r")
	c.take("r", "stock-1", &calllink.Load{PressurePermille: 400})
	require.InDelta(t, 0.4, c.pressure("r"), 1e-9, "it is back")
}

func TestRequestsWithCallsAreRarelyRepeated(t *testing.T) {
	granted := func(deep, ran bool) (n int) {
		e := newEntrance(Config{
			SharedState: knownState{},
			Settings:    &settings.Mesh{VM: "door-1"},
			Now:         func() time.Duration { return 0 },
			RetryBudget: func() RetryBudget { return RetryBudget{Ratio: 0.2, Allowance: 60, Window: 10 * time.Second} },
			Log:         event.NewLog(io.Discard, "node", "door-1", zerolog.InfoLevel),
			Metrics:     metrics.NewSet(),
		}, func() stopping.Phase { return stopping.Announcing })
		e.pressures.take("r", "stock-1", &calllink.Load{CallsDownstream: deep})
		p := &passage{entrance: e, view: threeServices(), route: &catalogue.Route{Name: "r", Idempotent: true}, service: "stock"}
		for range 100 {
			e.targets.first("stock", 10*time.Second)
		}
		for p.affords(&fleetview.Member{VM: "stock-1"}, ran) {
			n++
		}
		return n
	}
	require.Equal(t, 2, granted(true, true))
	require.Equal(t, 21, granted(true, false), "what was not run has made no calls")
	require.Equal(t, 21, granted(false, true))
}

// TestOneCallTriesASlowEndpointAgain holds that an endpoint that was too slow for
// a route is neither forgotten nor flooded once that is old news.
func TestOneCallTriesASlowEndpointAgain(t *testing.T) {
	now := time.Second
	c := Config{SharedState: knownState{}, Now: func() time.Duration { return now }, Settings: &settings.Mesh{VM: "door-1", AvailabilityZone: "a"}}
	targets := newTargets(c, nil)
	near := &fleetview.Member{VM: "terms-1", EndpointInstance: "near", AvailabilityZone: "a"}
	far := &fleetview.Member{VM: "terms-2", EndpointInstance: "far", AvailabilityZone: "b"}
	members := []*fleetview.Member{near, far}
	pick := func() *fleetview.Member { return targets.pick(members, "r", time.Second, nil) }
	told := func(m *fleetview.Member, usualMs int) {
		targets.done(m, "r", outcome{load: &calllink.Load{Limit: 10, TypicalMs: usualMs}})
	}
	require.Equal(t, near, pick())
	told(near, 950)
	require.Equal(t, far, pick())
	told(far, 300)

	now += usualFor + time.Millisecond
	require.Equal(t, near, pick(), "the news is old")
	require.Equal(t, far, pick(), "one call is enough to find out")
	told(far, 300)
	told(near, 300)
	require.Equal(t, near, pick(), "it is fast again")
}

// TestFullEndpointIsTheReason holds that a request which one endpoint refused because
// of load, and another because it is down, counts as refused because of load: the route
// is no route without endpoints.
func TestFullEndpointIsTheReason(t *testing.T) {
	for _, test := range []struct {
		desc  string
		kinds []problem.Kind
		want  problem.Kind
	}{
		{"down only", []problem.Kind{problem.KindUnreachable, problem.KindUnreachable}, problem.KindUnreachable},
		{"full, then down", []problem.Kind{problem.KindOverloaded, problem.KindUnreachable}, problem.KindOverloaded},
		{"down, then full", []problem.Kind{problem.KindUnreachable, problem.KindOverloaded}, problem.KindOverloaded},
		{"leaving, then down", []problem.Kind{problem.KindLeaving, problem.KindUnreachable}, problem.KindUnreachable},
	} {
		t.Run(test.desc, func(t *testing.T) {
			p := &passage{}
			for _, kind := range test.kinds {
				p.unserved(kind, "")
			}
			require.Equal(t, test.want, p.reason.Kind)
		})
	}
}

func TestTimesOfRoutesThatAreGoneAreForgotten(t *testing.T) {
	v := threeServices()
	v.Index = catalogue.NewIndex(&catalogue.Catalogue{Routes: []catalogue.Route{{Name: "kept"}}})
	c := Config{SharedState: knownState{}, Now: func() time.Duration { return 0 }, Settings: &settings.Mesh{VM: "door-1"}}
	targets := newTargets(c, nil)
	m := v.ByVM["terms-1"]
	for _, route := range []string{"kept", "gone"} {
		targets.done(m, route, outcome{load: &calllink.Load{Limit: 10, TypicalMs: 10}})
	}
	targets.retain(v)
	require.Len(t, targets.states[m.EndpointInstance].usual, 1)
	require.Contains(t, targets.states[m.EndpointInstance].usual, "kept")
}
