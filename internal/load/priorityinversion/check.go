// Package priorityinversion finds priority inversions in logs: requests that were
// refused for lack of capacity while a less important request that arrived later
// got a slot that they needed. All wall clocks must be of one machine.
//
// The rule: a refused request violates the priority order when, for every service
// at which it was refused, some request of a less important class arrived at its
// caller later and started there before the refusal.
//
//   - A request is refused when its caller's last answer was a refusal by a node
//     or an endpoint for lack of capacity or time.
//   - Its arrival is the time of the first send, its refusal the time of the last
//     answer. Resends in between belong to the same request.
//   - When its root call started, it was refused at the service of the first call
//     of its call tree, in call order, that never started. When no call started,
//     the caller's node refused it because of downstream services that the logs
//     don't name: then it counts as refused at all services of its call tree that
//     less important requests use as well.
//   - Any endpoint that started the later request could have served the call.
package priorityinversion

import (
	"github.com/galenacart/galenacart/internal/load/outcome"
	"github.com/galenacart/galenacart/internal/problem"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

// CallPosition is a call in the call tree of a route.
type CallPosition struct {
	// Position is the position in the tree, such as "0.1"; empty for the root.
	Position string
	// Service is the service called.
	Service string
}

// Route holds the properties of a route that the check uses.
type Route struct {
	// Rank is the rank of its class; 0 is the most important.
	Rank int
	// Calls lists its calls in pre-order.
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

// LaterStarts holds the starts of less important, later requests at one service.
type LaterStarts struct {
	// First is the first of them.
	First CallStart
	// Starts counts all of them before the refusal.
	Starts int
}

// Violation is a refused request with the later ones that were preferred to it.
type Violation struct {
	// Refused is the refused request.
	Refused outcome.Outcome
	// Records holds the records of the refused request in the endpoints' logs.
	Records []truth.Record
	// LaterStarts holds, for each service at which it was refused, the starts of
	// later, less important requests.
	LaterStarts []LaterStarts
}

// Result is the result of the check.
type Result struct {
	// Refused counts the refused requests of all classes but the least important.
	Refused int
	// Violations lists those that violate the rule.
	Violations []Violation
}

// request is a request with the wall clock times of its arrival and end, in
// nanoseconds since 1970.
type request struct {
	*outcome.Outcome
	rank      int
	arrivedNs int64
	endedNs   int64
}

// checker holds the indexed records of a run.
type checker struct {
	routes           Routes
	lowestRank       int // rank of the least important class
	requests         map[string]request
	startedPositions map[string]map[string]bool // positions by request
	startsByService  map[string][]CallStart     // by service, in the order of the logs
	maxRankByService map[string]int             // the largest rank of the routes that use a service
}

// Check finds priority inversions from the outcomes at callers and the endpoints'
// logs, which must be sorted by wall clock time. Requests of unknown routes are
// ignored.
func Check(records []truth.Record, all []outcome.Outcome, routes Routes) *Result {
	c := newChecker(routes, all)
	c.addRecords(records)
	result := &Result{}
	for i := range all {
		r, known := c.requests[all[i].Request]
		if !known || r.rank == c.lowestRank || !isCapacityRefusal(r.Outcome) {
			continue
		}
		result.Refused++
		if laterStarts := c.laterStarts(r); len(laterStarts) > 0 {
			result.Violations = append(result.Violations, Violation{Refused: all[i], Records: recordsOf(r.Request, records), LaterStarts: laterStarts})
		}
	}
	return result
}

func newChecker(routes Routes, all []outcome.Outcome) *checker {
	c := &checker{
		routes: routes, requests: map[string]request{}, startedPositions: map[string]map[string]bool{},
		startsByService: map[string][]CallStart{}, maxRankByService: map[string]int{},
	}
	for _, route := range routes {
		c.lowestRank = max(c.lowestRank, route.Rank)
		for _, p := range route.Calls {
			c.maxRankByService[p.Service] = max(c.maxRankByService[p.Service], route.Rank)
		}
	}
	for i := range all {
		o := &all[i]
		if route, known := routes[o.Route]; known {
			c.requests[o.Request] = request{Outcome: o, rank: route.Rank, arrivedNs: arrivedNs(o), endedNs: o.EndWallNs}
		}
	}
	return c
}

// arrivedNs returns the wall clock of the first send, in nanoseconds since 1970.
func arrivedNs(o *outcome.Outcome) int64 {
	return o.EndWallNs - o.LatencyNs + o.SendLagNs
}

func (c *checker) addRecords(records []truth.Record) {
	for i := range records {
		r := &records[i]
		if r.Kind != truth.Started {
			continue
		}
		if c.startedPositions[r.Request] == nil {
			c.startedPositions[r.Request] = map[string]bool{}
		}
		c.startedPositions[r.Request][r.Position] = true
		start := CallStart{Request: r.Request, VM: r.VM, Service: r.Service, WallNs: r.WallNs}
		c.startsByService[r.Service] = append(c.startsByService[r.Service], start)
	}
}

// laterStarts returns the evidence of a violation for a refused request: one entry
// for each service at which it was refused. It returns none if one of them has no
// later start.
func (c *checker) laterStarts(r request) []LaterStarts {
	var found []LaterStarts
	for _, service := range c.refusedAt(r) {
		one := c.laterStartsAt(service, r)
		if one.Starts == 0 {
			return nil
		}
		found = append(found, one)
	}
	return found
}

// refusedAt returns the services at which a request was refused.
func (c *checker) refusedAt(r request) []string {
	calls, startedPositions := c.routes[r.Route].Calls, c.startedPositions[r.Request]
	if startedPositions[""] {
		for _, p := range calls {
			if !startedPositions[p.Position] {
				return []string{p.Service}
			}
		}
		return nil
	}
	var services []string
	seen := map[string]bool{}
	for _, p := range calls {
		if c.maxRankByService[p.Service] > r.rank && !seen[p.Service] {
			seen[p.Service] = true
			services = append(services, p.Service)
		}
	}
	return services
}

// laterStartsAt returns the starts at a service, before r was refused, of less
// important requests that arrived after r.
func (c *checker) laterStartsAt(service string, r request) LaterStarts {
	var found LaterStarts
	for _, start := range c.startsByService[service] {
		other, known := c.requests[start.Request]
		if !known || other.rank <= r.rank || other.arrivedNs <= r.arrivedNs || start.WallNs >= r.endedNs {
			continue
		}
		if found.Starts == 0 {
			found.First = start
		}
		found.Starts++
	}
	return found
}

// recordsOf returns the records of a request.
func recordsOf(request string, records []truth.Record) []truth.Record {
	var found []truth.Record
	for i := range records {
		if records[i].Request == request {
			found = append(found, records[i])
		}
	}
	return found
}

// capacityKinds lists the kinds of refusal for lack of capacity, or for lack of
// time after waiting for it.
var capacityKinds = []problem.Kind{
	problem.KindOverloaded, problem.KindOverloadedEverywhere, problem.KindEndpointRefused,
	problem.KindDeadline, problem.KindRetryBudget,
}

// isCapacityRefusal reports whether a request was refused for lack of capacity or
// time. A failure without a kind is a refusal by the endpoint or a downstream one.
func isCapacityRefusal(o *outcome.Outcome) bool {
	if o.Result != outcome.Refused && o.Result != outcome.Failed {
		return false
	}
	if o.Kind == "" {
		return true
	}
	for _, kind := range capacityKinds {
		if o.Kind == kind.String() {
			return true
		}
	}
	return false
}
