package proxy

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/galenacart/galenacart/decision/pressure"
	"github.com/galenacart/galenacart/decision/retry"
	"github.com/galenacart/galenacart/internal/calllink"
)

const (
	// perMille is the unit in which pressures are sent between nodes.
	perMille = 1000
	// pressureFreshFor is the age up to which a reported pressure counts in full.
	pressureFreshFor = 200 * time.Millisecond
	// pressureDecayTime is the time constant of the decay after that. Where all calls are
	// refused, no reply brings a newer value.
	pressureDecayTime = 250 * time.Millisecond
	// pressureMaxAge is the age at which a report is dropped.
	pressureMaxAge = 5 * time.Second
)

// chainPressures holds the pressure in the call chain of each route, as reported by the
// nodes of the route's endpoints.
type chainPressures struct {
	now func() time.Duration

	mu     sync.Mutex
	routes map[string]*routePressure
}

type routePressure struct {
	isInternal bool
	depth      retry.Depth
	depthAt    time.Duration               // when a node last reported depth
	reported   map[string]reportedPressure // by VM
}

type reportedPressure struct {
	pressure     float64
	refusalShare float64 // share of its calls that the endpoint refuses
	reportedAt   time.Duration
}

func newChainPressures(now func() time.Duration) *chainPressures {
	return &chainPressures{now: now, routes: make(map[string]*routePressure)}
}

// record stores the load that the node of a VM reported for a route.
func (c *chainPressures) record(route, vm string, load *calllink.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.route(route)
	delete(r.reported, unreachableVM)
	if load.Leaving {
		delete(r.reported, vm)
		return
	}
	r.isInternal = load.InternalOnly
	r.recordDepth(load.Depth, c.now())
	r.reported[vm] = reportedPressure{
		pressure:     float64(load.PressurePermille) / perMille,
		refusalShare: float64(load.RefusalPermille) / perMille,
		reportedAt:   c.now(),
	}
}

// unreachableVM is the key of the report that stands for a route without reachable
// endpoints.
const unreachableVM = ""

// recordUnreachable records that no endpoint of a route is reachable. This counts as if
// all endpoints refused all calls.
func (c *chainPressures) recordUnreachable(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.route(route)
	clear(r.reported)
	r.reported[unreachableVM] = reportedPressure{refusalShare: 1, reportedAt: c.now()}
}

func (c *chainPressures) route(name string) *routePressure {
	r, ok := c.routes[name]
	if !ok {
		r = &routePressure{depth: retry.DepthUnknown, reported: make(map[string]reportedPressure)}
		c.routes[name] = r
	}
	return r
}

// retain removes the routes that are not in known.
func (c *chainPressures) retain(known map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.routes, func(route string, _ *routePressure) bool { return !known[route] })
}

// isInternal reports whether a route is called by endpoints only.
func (c *chainPressures) isInternal(route string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[route]
	return r != nil && r.isInternal
}

// callsDownstream reports whether endpoints are known to make calls of their own for a route.
func (c *chainPressures) callsDownstream(route string) bool {
	depth := c.depth(route)
	return depth > 0 && depth != retry.DepthUnknown
}

// recordDepth keeps the largest depth that nodes have reported lately. A node that has just
// started knows none.
func (r *routePressure) recordDepth(depth retry.Depth, now time.Duration) {
	if depth == retry.DepthUnknown {
		return
	}
	if r.depth == retry.DepthUnknown || depth >= r.depth || now-r.depthAt > pressureMaxAge {
		r.depth, r.depthAt = depth, now
	}
}

// depth returns the number of levels of calls below a route.
func (c *chainPressures) depth(route string) retry.Depth {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.routes[route]; r != nil {
		return r.depth
	}
	return retry.DepthUnknown
}

// pressure returns the pressure in the call chain of a route.
func (c *chainPressures) pressure(route string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[route]
	if r == nil {
		return 0
	}
	return r.pressure(c.now())
}

// pressure returns the mean of the recent reports. The weight of a report decays with its
// age, so a node that stops reporting counts less than the others.
func (r *routePressure) pressure(now time.Duration) float64 {
	sum, weights, newest, refusalShare := 0.0, 0.0, pressureMaxAge, 1.0
	for vm, reported := range r.reported {
		age := now - reported.reportedAt
		if age > pressureMaxAge {
			delete(r.reported, vm)
			continue
		}
		weight := decay(age)
		sum += reported.pressure * weight
		weights += weight
		newest = min(newest, age)
		refusalShare = min(refusalShare, reported.refusalShare)
	}
	if weights == 0 {
		return 0
	}
	return max(sum/weights, pressure.FromRefusalShare(refusalShare)) * decay(newest)
}

// decay returns the weight of a report of some age.
func decay(age time.Duration) float64 {
	return math.Exp(-float64(max(age-pressureFreshFor, 0)) / float64(pressureDecayTime))
}
