package traffic

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenacart/galenacart/decision/priority"
	"github.com/galenacart/galenacart/decision/retry"
	"github.com/galenacart/galenacart/decision/routing"
	"github.com/galenacart/galenacart/decision/shedding"
	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/fleetview"
)

// leaverPingInterval is the time between two pings of a VM that was leaving.
const leaverPingInterval = 500 * time.Millisecond

// shedAge is the time for which the threshold over all endpoints of a service is
// kept. It bounds the cost of asking with every call.
const shedAge = time.Millisecond

// targets holds what this node knows of the endpoints that it sends calls to.
type targets struct {
	now func() time.Duration

	mu       sync.Mutex
	services map[string]*service
}

// service is what this node knows of the endpoints of one service.
type service struct {
	now func() time.Duration

	mu           sync.Mutex
	router       *routing.Router
	thresholds   *shedding.ThresholdTable
	brake        *retry.Throttle
	incarnations map[string]uint64
	leavers      map[string]time.Duration // the time of the next ping, by VM
	candidates   []routing.Candidate
	shed         map[string]shed // by route
}

// shed is the first priority that all endpoints shed of a route.
type shed struct {
	threshold priority.Priority
	at        time.Duration
}

func newTargets(now func() time.Duration) *targets {
	return &targets{now: now, services: make(map[string]*service)}
}

func (t *targets) service(name string) *service {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	if !ok {
		s = &service{
			now:          t.now,
			router:       routing.NewRouter(),
			thresholds:   shedding.NewThresholdTable(),
			brake:        retry.NewThrottle(),
			incarnations: make(map[string]uint64),
			leavers:      make(map[string]time.Duration),
			shed:         make(map[string]shed),
		}
		t.services[name] = s
	}
	return s
}

// doubtsMax bounds the endpoints of a service that one lost call casts doubt on.
const doubtsMax = 32

// doubt has the known endpoints of other availability zones probed, after a call
// to one was lost: a zone may be cut off, also the node's own one.
func (t *targets) doubt(v *fleetview.View, own string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.services {
		s.doubt(v.ByService[name], own)
	}
}

func (s *service) doubt(members []*fleetview.Member, own string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, m := range members {
		if m.AvailabilityZone != own && count < doubtsMax {
			s.router.RequestProbe(m.VM)
			count++
		}
	}
}

// retain forgets endpoints that left the view.
func (t *targets) retain(v *fleetview.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		s.retain(v)
	}
}

func (s *service) retain(v *fleetview.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.Retain(func(vm string) bool { return v.ByVM[vm] != nil })
	for vm := range s.incarnations {
		if v.ByVM[vm] == nil {
			delete(s.incarnations, vm)
		}
	}
	for vm := range s.leavers {
		if v.ByVM[vm] == nil {
			delete(s.leavers, vm)
		}
	}
}

// place is where a node stands.
type place struct {
	vm, zone, region string
}

// pick chooses the endpoint for a call and counts the attempt. tried holds the
// VMs to which the call was sent before. near asks for the own availability zone
// first, whatever its headroom.
func (s *service) pick(from place, members []*fleetview.Member, route string, p priority.Priority, tried []string, near bool) (*fleetview.Member, routing.PickFailure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.candidates = s.candidates[:0]
	for _, m := range members {
		_, leaves := s.leavers[m.VM]
		s.candidates = append(s.candidates, routing.Candidate{
			VM:       m.VM,
			Distance: from.distance(m),
			Leaving:  m.Leaving || leaves,
			Tried:    contains(tried, m.VM),
			Shedding: s.thresholds.ShouldRefuse(now, targetOf(m.VM, route), p),
		})
	}
	at, miss := -1, routing.PickFailureNone
	if near {
		at = s.router.PickSameZone(now, s.candidates, rand.Uint64())
	}
	if at < 0 {
		at, miss = s.router.Pick(now, s.candidates, rand.Uint64())
	}
	if at < 0 {
		return nil, miss
	}
	s.thresholds.RecordSent(now, targetOf(members[at].VM, route), p)
	s.router.Start(now, members[at].VM)
	return members[at], miss
}

// threshold returns the first priority that all endpoints of the service shed of
// a route, as far as is known.
func (s *service) threshold(members []*fleetview.Member, route string) priority.Priority {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	known, ok := s.shed[route]
	if ok && now-known.at < shedAge {
		return known.threshold
	}
	loosest := priority.Highest
	left := 0
	for _, m := range members {
		if _, leaves := s.leavers[m.VM]; leaves || m.Leaving || s.router.Ejected(m.VM) {
			continue
		}
		left++
		loosest = max(loosest, s.thresholds.Threshold(now, targetOf(m.VM, route)))
	}
	if left == 0 {
		loosest = priority.Lowest
	}
	s.shed[route] = shed{threshold: loosest, at: now}
	return loosest
}

// done takes an attempt back and learns from its end.
func (s *service) done(vm string, f routing.AttemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.Finish(s.now(), vm, f)
}

// report takes in what an answer said about its node. A node that leaves gets
// no calls until a ping shows that another process has taken its place.
func (s *service) report(vm, route string, r *call.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.thresholds.Update(s.now(), targetOf(vm, route), r.ShedThreshold, r.Headroom)
	s.incarnations[vm] = r.Incarnation
	if r.Leaving {
		s.leavers[vm] = s.now() + leaverPingInterval
	}
}

// incarnation returns the run of a VM's process that answered last, or 0.
func (s *service) incarnation(vm string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnations[vm]
}

// succeeded adds to the credit for extra attempts.
func (s *service) succeeded(percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brake.RecordSuccess(percent)
}

// mayRetry takes one extra attempt out of the credit.
func (s *service) mayRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.brake.Spend()
}

func (p place) distance(m *fleetview.Member) routing.Distance {
	switch {
	case m.AvailabilityZone == p.zone:
		return routing.SameZone
	case m.Region == p.region:
		return routing.SameRegion
	default:
		return routing.OtherRegion
	}
}

// targetOf names the calls of one route at one VM.
func targetOf(vm, route string) shedding.Target {
	return shedding.Target(xxhash.Sum64String(vm) ^ xxhash.Sum64String(route)<<1)
}

func contains(list []string, one string) bool {
	for _, have := range list {
		if have == one {
			return true
		}
	}
	return false
}
