// Package routing selects the endpoint for a call.
//
// Endpoints in the caller's availability zone are preferred while they have headroom;
// further calls spill over to the next nearest endpoints. Among equally near endpoints
// it uses the power of two choices, by the outstanding calls of this node and the
// smoothed latency. Failing endpoints are ejected with exponential backoff, but never
// all of them.
package routing

import "time"

// Distance is the network distance of an endpoint. A smaller distance is preferred.
type Distance uint8

// The distances of an endpoint.
const (
	// SameZone is the caller's own availability zone.
	SameZone Distance = iota
	// SameRegion is another availability zone of the caller's region.
	SameRegion
	// OtherRegion is another region.
	OtherRegion

	distanceCount
)

// Candidate is one endpoint of the called service.
type Candidate struct {
	// VM is the name of the endpoint's VM.
	VM string
	// Distance is the distance of the endpoint.
	Distance Distance
	// Leaving reports whether the endpoint accepts no new work.
	Leaving bool
	// Shedding reports whether the endpoint is known to shed calls of this priority.
	Shedding bool
	// Tried reports whether the call was already sent to the endpoint.
	Tried bool
}

// PickFailure is the reason why no endpoint was picked.
type PickFailure uint8

// The reasons why no endpoint was picked.
const (
	// PickFailureNone means that an endpoint was picked.
	PickFailureNone PickFailure = iota
	// PickFailureNoEndpoint means that no endpoint is left to try.
	PickFailureNoEndpoint
	// PickFailureShedding means that every remaining endpoint sheds calls of this
	// priority.
	PickFailureShedding
)

// Router tracks the state of the endpoints of one service as seen by one node. It is not
// safe for concurrent use.
type Router struct {
	targets map[string]*target
}

// NewRouter returns a router without endpoints.
func NewRouter() *Router {
	return &Router{targets: make(map[string]*target)}
}

// Pick returns the index of the candidate for a call, or -1 and the reason. random is a
// uniformly distributed random number.
func (r *Router) Pick(now time.Duration, candidates []Candidate, random uint64) (int, PickFailure) {
	for d := range distanceCount {
		if index := r.pickFiltered(now, candidates, random, filter{minDistance: d, maxDistance: d, headroom: true}); index >= 0 {
			return index, PickFailureNone
		}
	}
	if index := r.pickWithoutHeadroom(now, candidates, random); index >= 0 {
		return index, PickFailureNone
	}
	return r.pickFallback(candidates, random)
}

// pickWithoutHeadroom picks among endpoints without headroom, where calls wait. The
// zones of a region count as one; otherwise important calls of one zone would queue
// behind each other while another zone runs less important ones.
func (r *Router) pickWithoutHeadroom(now time.Duration, candidates []Candidate, random uint64) int {
	if index := r.pickFiltered(now, candidates, random, filter{minDistance: SameZone, maxDistance: SameRegion}); index >= 0 {
		return index
	}
	return r.pickFiltered(now, candidates, random, filter{minDistance: OtherRegion, maxDistance: OtherRegion})
}

// PickSameZone returns the index of a usable candidate in the caller's availability
// zone, with or without headroom, or -1. It is used for a call that was lost on its way
// to another zone, because the caller's zone may be partitioned from the others.
func (r *Router) PickSameZone(now time.Duration, candidates []Candidate, random uint64) int {
	if index := r.pickFiltered(now, candidates, random, filter{minDistance: SameZone, maxDistance: SameZone, headroom: true}); index >= 0 {
		return index
	}
	return r.pickFiltered(now, candidates, random, filter{minDistance: SameZone, maxDistance: SameZone})
}

// filter restricts the endpoints that may be picked.
type filter struct {
	minDistance, maxDistance Distance
	headroom                 bool // excludes endpoints that would queue the call
}

// pickFiltered returns the index of the cheaper of two random usable endpoints, or -1.
func (r *Router) pickFiltered(now time.Duration, candidates []Candidate, random uint64, f filter) int {
	usable := 0
	for i := range candidates {
		if r.usable(now, &candidates[i], f) {
			usable++
		}
	}
	if usable == 0 {
		return -1
	}
	first := int(uint32(random) % uint32(usable))
	second := int(uint32(random>>32) % uint32(usable))
	a := r.nthUsable(now, candidates, f, first)
	b := r.nthUsable(now, candidates, f, second)
	if r.cost(now, candidates[b].VM) < r.cost(now, candidates[a].VM) {
		return b
	}
	return a
}

// nthUsable returns the index of the n-th usable endpoint, or -1.
func (r *Router) nthUsable(now time.Duration, candidates []Candidate, f filter, n int) int {
	for i := range candidates {
		if !r.usable(now, &candidates[i], f) {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

// usable reports whether the filter and the state of a candidate permit the call.
func (r *Router) usable(now time.Duration, c *Candidate, f filter) bool {
	if c.Distance < f.minDistance || c.Distance > f.maxDistance {
		return false
	}
	if c.Leaving || c.Shedding || c.Tried {
		return false
	}
	t, known := r.targets[c.VM]
	if !known {
		return true
	}
	if t.ejected() {
		return false
	}
	return !f.headroom || t.headroom(now) > 0
}

// pickFallback picks a random endpoint when all of them are ejected, so that the call is
// still attempted.
func (r *Router) pickFallback(candidates []Candidate, random uint64) (int, PickFailure) {
	eligible := 0
	failure := PickFailureNoEndpoint
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.Tried || c.Leaving:
		case c.Shedding:
			failure = PickFailureShedding
		default:
			eligible++
		}
	}
	if eligible == 0 {
		return -1, failure
	}
	n := int(random % uint64(eligible))
	for i := range candidates {
		c := &candidates[i]
		if c.Tried || c.Leaving || c.Shedding {
			continue
		}
		if n == 0 {
			return i, PickFailureNone
		}
		n--
	}
	return -1, PickFailureNoEndpoint
}

// cost estimates the time to answer one more call; it is 0 for unknown endpoints.
func (r *Router) cost(now time.Duration, vm string) float64 {
	t, known := r.targets[vm]
	if !known {
		return 0
	}
	return t.cost(now)
}

// Retain removes every endpoint without outstanding calls for which keep returns false.
func (r *Router) Retain(keep func(vm string) bool) {
	for vm, t := range r.targets {
		if t.outstanding == 0 && !keep(vm) {
			delete(r.targets, vm)
		}
	}
}

// Ejected reports whether an endpoint is ejected after failures.
func (r *Router) Ejected(vm string) bool {
	t, known := r.targets[vm]
	return known && t.ejected()
}

// Outstanding returns the number of calls that this node has in flight at an endpoint.
func (r *Router) Outstanding(vm string) int {
	t, known := r.targets[vm]
	if !known {
		return 0
	}
	return t.outstanding
}
