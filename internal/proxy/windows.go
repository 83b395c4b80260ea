package proxy

import (
	"github.com/galenacart/galenacart/decision/pressure"
	"github.com/galenacart/galenacart/internal/fleetview"
)

// routeWindow is the admission window of one route at the local endpoint.
type routeWindow struct {
	window *pressure.Window
	rank   int
}

// enterWindow admits a call of a route and returns its window, or returns nil when the
// call has to be refused.
func (s *endpointServer) enterWindow(route string, rank uint8) *routeWindow {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.windows[route]
	if !ok {
		w = &routeWindow{window: pressure.NewWindow(s.config.Now(), s.gate.Limit())}
		s.windows[route] = w
	}
	w.rank = int(rank)
	if !w.window.TryAcquire() {
		return nil
	}
	return w
}

func (s *endpointServer) leaveWindow(w *routeWindow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.window.Release()
}

// adaptWindows adapts every window to the pressure of its chain.
func (s *endpointServer) adaptWindows() {
	v := s.config.View.Load()
	if v.Index == nil {
		return
	}
	now := s.config.Now()
	ranks := len(v.Index.Catalogue().Classes)
	for route, w := range s.windows {
		w.window.Adapt(now, s.chainPressure(route), w.rank, ranks, s.gate.Limit())
	}
}

// chainPressure returns the highest pressure along the call chain of a route.
func (s *endpointServer) chainPressure(route string) float64 {
	most := s.pressure.Pressure(s.config.Now())
	for _, callee := range s.graph.Callees(route) {
		most = max(most, s.pressures.pressure(callee))
	}
	return most
}

// forgetRoutes removes the state of routes that are not in the configuration. Windows with
// open requests stay until these end.
func (s *endpointServer) forgetRoutes(v *fleetview.View) {
	if v.Index == nil {
		return
	}
	known := v.RouteNames()
	for route, w := range s.windows {
		if !known[route] && w.window.InFlight() == 0 {
			delete(s.windows, route)
		}
	}
	for route := range s.durationEstimators {
		if !known[route] {
			delete(s.durationEstimators, route)
		}
	}
	s.pressures.retain(known)
	s.callOrigins.retain(known)
}
