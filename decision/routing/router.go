// Package routing picks the endpoint that takes a call.
//
// Endpoints in the caller's availability zone go first while they have
// headroom; what they can't take spills over to the next nearest ones call by
// call. Among equally near endpoints the better of two random ones wins, by own
// outstanding calls and time to answer. Endpoints that fail are set aside for a
// growing while, but never all of them.
package routing

import "time"

// Distance says how far an endpoint is. A smaller distance is preferred.
type Distance uint8

// The distances of an endpoint.
const (
	// SameZone is the caller's own availability zone.
	SameZone Distance = iota
	// SameRegion is another availability zone of the caller's region.
	SameRegion
	// OtherRegion is another region.
	OtherRegion

	distances
)

// Candidate is one endpoint that serves the wanted service.
type Candidate struct {
	// VM names the endpoint's VM.
	VM string
	// Distance says how far the endpoint is.
	Distance Distance
	// Leaving says that the endpoint takes no new work.
	Leaving bool
	// Shedding says that the endpoint is known to shed calls of this priority.
	Shedding bool
	// Tried says that the call was already sent there.
	Tried bool
}

// PickFailure says why no endpoint was picked.
type PickFailure uint8

// The reasons for picking no endpoint.
const (
	// PickFailureNone means that an endpoint was picked.
	PickFailureNone PickFailure = iota
	// PickFailureNoEndpoint means that no endpoint is left to try.
	PickFailureNoEndpoint
	// PickFailureShedding means that every endpoint left sheds calls of this priority.
	PickFailureShedding
)

// Router holds what one node knows of the endpoints of one service. It is not
// safe for concurrent use.
type Router struct {
	targets map[string]*target
}

// NewRouter returns a router that knows no endpoint yet.
func NewRouter() *Router {
	return &Router{targets: make(map[string]*target)}
}

// Pick returns the index of the candidate that takes the call, or -1 and the
// reason. random is a uniformly random number.
func (r *Router) Pick(now time.Duration, candidates []Candidate, random uint64) (int, PickFailure) {
	for d := range distances {
		if at := r.pickAt(now, candidates, random, reach{from: d, to: d, headroom: true}); at >= 0 {
			return at, PickFailureNone
		}
	}
	if at := r.pickFull(now, candidates, random); at >= 0 {
		return at, PickFailureNone
	}
	return r.pickAny(candidates, random)
}

// pickFull chooses among endpoints without headroom. Calls wait there, so the
// zones of a region count as one: else the important calls of one zone wait for
// each other while less important ones are run next door.
func (r *Router) pickFull(now time.Duration, candidates []Candidate, random uint64) int {
	if at := r.pickAt(now, candidates, random, reach{from: SameZone, to: SameRegion}); at >= 0 {
		return at
	}
	return r.pickAt(now, candidates, random, reach{from: OtherRegion, to: OtherRegion})
}

// PickSameZone returns the index of a usable candidate in the caller's availability
// zone, with headroom or without, or -1. It is for a call that was lost on its way
// to another zone: the caller's zone may be the one that is cut off.
func (r *Router) PickSameZone(now time.Duration, candidates []Candidate, random uint64) int {
	if at := r.pickAt(now, candidates, random, reach{from: SameZone, to: SameZone, headroom: true}); at >= 0 {
		return at
	}
	return r.pickAt(now, candidates, random, reach{from: SameZone, to: SameZone})
}

// reach says which endpoints a call may go to.
type reach struct {
	from, to Distance
	headroom bool // only those that would run it at once
}

// pickAt returns the better of two random usable endpoints within reach.
func (r *Router) pickAt(now time.Duration, candidates []Candidate, random uint64, within reach) int {
	usable := 0
	for i := range candidates {
		if r.usable(now, &candidates[i], within) {
			usable++
		}
	}
	if usable == 0 {
		return -1
	}
	first := int(uint32(random) % uint32(usable))
	second := int(uint32(random>>32) % uint32(usable))
	a := r.nth(now, candidates, within, first)
	b := r.nth(now, candidates, within, second)
	if r.cost(now, candidates[b].VM) < r.cost(now, candidates[a].VM) {
		return b
	}
	return a
}

// nth returns the index of the n-th usable endpoint.
func (r *Router) nth(now time.Duration, candidates []Candidate, within reach, n int) int {
	for i := range candidates {
		if !r.usable(now, &candidates[i], within) {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

func (r *Router) usable(now time.Duration, c *Candidate, within reach) bool {
	if c.Distance < within.from || c.Distance > within.to {
		return false
	}
	if c.Leaving || c.Shedding || c.Tried {
		return false
	}
	t, known := r.targets[c.VM]
	if !known {
		return true
	}
	if t.aside() {
		return false
	}
	return !within.headroom || t.headroom(now) > 0
}

// pickAny is the floor: when every endpoint is set aside, one of them gets the
// call rather than nobody.
func (r *Router) pickAny(candidates []Candidate, random uint64) (int, PickFailure) {
	left := 0
	miss := PickFailureNoEndpoint
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.Tried || c.Leaving:
		case c.Shedding:
			miss = PickFailureShedding
		default:
			left++
		}
	}
	if left == 0 {
		return -1, miss
	}
	n := int(random % uint64(left))
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

// cost estimates the time until an endpoint would answer one more call.
func (r *Router) cost(now time.Duration, vm string) float64 {
	t, known := r.targets[vm]
	if !known {
		return 0
	}
	return t.cost(now)
}

// Retain forgets every endpoint that keep doesn't hold.
func (r *Router) Retain(keep func(vm string) bool) {
	for vm, t := range r.targets {
		if t.outstanding == 0 && !keep(vm) {
			delete(r.targets, vm)
		}
	}
}

// Ejected reports whether an endpoint is set aside after failures.
func (r *Router) Ejected(vm string) bool {
	t, known := r.targets[vm]
	return known && t.aside()
}

// Outstanding returns the calls that this node has in flight at an endpoint.
func (r *Router) Outstanding(vm string) int {
	t, known := r.targets[vm]
	if !known {
		return 0
	}
	return t.outstanding
}
