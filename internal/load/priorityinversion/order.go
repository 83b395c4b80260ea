// Package priorityinversion checks from logs that no request was refused for want of
// capacity while a less important one that arrived later got a slot that it
// needed. It takes wall clocks of one machine.
//
// The rule: a refused request is violated when, for every service at which it
// was refused, some request of a less important class arrived at its caller
// later and started there before the refusal.
//
//   - A request is refused when its caller's last answer was a node's refusal,
//     or an endpoint's own, for want of capacity or time.
//   - It arrived when its caller sent it first, and was refused when the caller
//     had the last answer. Sends in between belong to it.
//   - When its root call started, it was refused at the service of the first
//     call of its tree, in the order of the calls, that never started. When no
//     call started, its caller's node refused it for the sake of services further
//     down that the logs don't name: then it counts as refused at all services of
//     its tree which less important requests use as well.
//   - Any endpoint that started the later request could have taken the call.
package priorityinversion

import (
	"github.com/galenacart/galenacart/internal/load/outcome"
	"github.com/galenacart/galenacart/internal/problem"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

// CallPosition is a call in the tree of calls of a route.
type CallPosition struct {
	// Position is the place in the tree, such as "0.1"; empty for the root.
	Position string
	// Service is the service called.
	Service string
}

// Route is what the check knows of a route.
type Route struct {
	// Rank is the importance of its class, 0 first.
	Rank int
	// Calls lists its calls, each before the calls below it.
	Calls []CallPosition
}

// Routes holds the routes by name.
type Routes map[string]Route

// CallStart is a call that got a slot.
type CallStart struct {
	// Request is the request of the call.
	Request string
	// VM is the VM of the endpoint.
	VM string
	// Service is the service of the endpoint.
	Service string
	// WallNs is the wall clock, in nanoseconds since 1970.
	WallNs int64
}

// LaterStarts is what less important requests got at one service.
type LaterStarts struct {
	// First is the first start of one.
	First CallStart
	// Starts counts all of them up to the refusal.
	Starts int
}

// Violation is a refused request with the later ones that got its slots.
type Violation struct {
	// Refused is the refused request.
	Refused outcome.Outcome
	// Records holds what the endpoints' logs say of the refused request.
	Records []truth.Record
	// LaterStarts holds, for each service at which it was refused, what later, less
	// important requests got there.
	LaterStarts []LaterStarts
}

// Result is what the check found.
type Result struct {
	// Refused counts the refused requests that a less important one could have
	// been preferred to.
	Refused int
	// Violations lists those that break the rule.
	Violations []Violation
}

// request is a request with its moments on the wall clock, in nanoseconds since
// 1970.
type request struct {
	*outcome.Outcome
	rank    int
	arrived int64
	ended   int64
}

// checker holds what is known of a run.
type checker struct {
	routes   Routes
	lowest   int // rank of the least important class
	requests map[string]request
	started  map[string]map[string]bool // positions by request
	starts   map[string][]CallStart     // by service, in the order of the logs
	shared   map[string]int             // the largest rank of a route that uses a service
}

// Check compares answers with the endpoints' logs, which are in the order of the
// wall clock. Requests of unknown routes are left out.
func Check(records []truth.Record, all []outcome.Outcome, routes Routes) *Result {
	c := newChecker(routes, all)
	c.read(records)
	result := &Result{}
	for i := range all {
		r, known := c.requests[all[i].Request]
		if !known || r.rank == c.lowest || !refused(r.Outcome) {
			continue
		}
		result.Refused++
		if later := c.later(r); len(later) > 0 {
			result.Violations = append(result.Violations, Violation{Refused: all[i], Records: of(r.Request, records), LaterStarts: later})
		}
	}
	return result
}

func newChecker(routes Routes, all []outcome.Outcome) *checker {
	c := &checker{
		routes: routes, requests: map[string]request{}, started: map[string]map[string]bool{},
		starts: map[string][]CallStart{}, shared: map[string]int{},
	}
	for _, route := range routes {
		c.lowest = max(c.lowest, route.Rank)
		for _, p := range route.Calls {
			c.shared[p.Service] = max(c.shared[p.Service], route.Rank)
		}
	}
	for i := range all {
		o := &all[i]
		if route, known := routes[o.Route]; known {
			c.requests[o.Request] = request{Outcome: o, rank: route.Rank, arrived: arrived(o), ended: o.EndWallNs}
		}
	}
	return c
}

// arrived returns the wall clock of the first send, in nanoseconds since 1970.
func arrived(o *outcome.Outcome) int64 {
	return o.EndWallNs - o.LatencyNs + o.SendLagNs
}

func (c *checker) read(records []truth.Record) {
	for i := range records {
		r := &records[i]
		if r.Kind != truth.Started {
			continue
		}
		if c.started[r.Request] == nil {
			c.started[r.Request] = map[string]bool{}
		}
		c.started[r.Request][r.Position] = true
		start := CallStart{Request: r.Request, VM: r.VM, Service: r.Service, WallNs: r.WallNs}
		c.starts[r.Service] = append(c.starts[r.Service], start)
	}
}

// later returns what breaks the rule for a refused request: one entry for
// each service at which it was refused, or none.
func (c *checker) later(r request) []LaterStarts {
	var found []LaterStarts
	for _, service := range c.refusedAt(r) {
		one := c.laterAt(service, r)
		if one.Starts == 0 {
			return nil
		}
		found = append(found, one)
	}
	return found
}

// refusedAt returns the services at which a request was refused.
func (c *checker) refusedAt(r request) []string {
	places, started := c.routes[r.Route].Calls, c.started[r.Request]
	if started[""] {
		for _, p := range places {
			if !started[p.Position] {
				return []string{p.Service}
			}
		}
		return nil
	}
	var services []string
	seen := map[string]bool{}
	for _, p := range places {
		if c.shared[p.Service] > r.rank && !seen[p.Service] {
			seen[p.Service] = true
			services = append(services, p.Service)
		}
	}
	return services
}

// laterAt returns what less important requests that arrived after r got at a
// service before r was refused.
func (c *checker) laterAt(service string, r request) LaterStarts {
	var found LaterStarts
	for _, start := range c.starts[service] {
		other, known := c.requests[start.Request]
		if !known || other.rank <= r.rank || other.arrived <= r.arrived || start.WallNs >= r.ended {
			continue
		}
		if found.Starts == 0 {
			found.First = start
		}
		found.Starts++
	}
	return found
}

// of returns the records of a request.
func of(request string, records []truth.Record) []truth.Record {
	var own []truth.Record
	for i := range records {
		if records[i].Request == request {
			own = append(own, records[i])
		}
	}
	return own
}

// lackOfCapacity holds the kinds of refusal that say that there was no room, or
// no time left after waiting for it.
var lackOfCapacity = []problem.Kind{
	problem.KindOverloaded, problem.KindOverloadedEverywhere, problem.KindEndpointRefused,
	problem.KindDeadline, problem.KindRetryBudget,
}

// refused reports whether a request was refused for want of capacity or time. A
// failure without a kind is an endpoint's own refusal, or that of one below it.
func refused(o *outcome.Outcome) bool {
	if o.Result != outcome.Refused && o.Result != outcome.Failed {
		return false
	}
	if o.Kind == "" {
		return true
	}
	for _, kind := range lackOfCapacity {
		if o.Kind == kind.String() {
			return true
		}
	}
	return false
}
