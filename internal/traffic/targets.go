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

// leavingPingInterval is the interval between pings of a leaving VM.
const leavingPingInterval = 500 * time.Millisecond

// shedThresholdLifetime is the time for which the threshold over all endpoints
// of a service is cached. It bounds the cost of computing it per call.
const shedThresholdLifetime = time.Millisecond

// targets holds the routing state of the endpoints that this node calls, by
// service.
type targets struct {
	now func() time.Duration

	mu       sync.Mutex
	services map[string]*serviceTargets
}

// serviceTargets holds the routing state of the endpoints of one service.
type serviceTargets struct {
	now func() time.Duration

	mu             sync.Mutex
	router         *routing.Router
	thresholds     *shedding.ThresholdTable
	throttle       *retry.Throttle
	incarnations   map[string]uint64
	leaving        map[string]time.Duration // the time of the next ping, by VM
	candidates     []routing.Candidate
	shedThresholds map[string]shedThreshold // by route
}

// shedThreshold is the first priority of a route that all endpoints shed.
type shedThreshold struct {
	threshold  priority.Priority
	computedAt time.Duration
}

func newTargets(now func() time.Duration) *targets {
	return &targets{now: now, services: make(map[string]*serviceTargets)}
}

func (t *targets) serviceTargets(name string) *serviceTargets {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	if !ok {
		s = &serviceTargets{
			now:            t.now,
			router:         routing.NewRouter(),
			thresholds:     shedding.NewThresholdTable(),
			throttle:       retry.NewThrottle(),
			incarnations:   make(map[string]uint64),
			leaving:        make(map[string]time.Duration),
			shedThresholds: make(map[string]shedThreshold),
		}
		t.services[name] = s
	}
	return s
}

// zoneProbesMax bounds the endpoints of a service that are probed after one failed
// call.
const zoneProbesMax = 32

// probeOtherZones requests probes of the known endpoints in other availability
// zones after the connection to one failed, because a zone may be partitioned,
// possibly the node's own one.
func (t *targets) probeOtherZones(v *fleetview.View, own string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.services {
		s.probeOtherZones(v.ByService[name], own)
	}
}

func (s *serviceTargets) probeOtherZones(members []*fleetview.Member, own string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, m := range members {
		if m.AvailabilityZone != own && count < zoneProbesMax {
			s.router.RequestProbe(m.VM)
			count++
		}
	}
}

// retain drops the state of endpoints that are not in the view.
func (t *targets) retain(v *fleetview.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		s.retain(v)
	}
}

func (s *serviceTargets) retain(v *fleetview.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.Retain(func(vm string) bool { return v.ByVM[vm] != nil })
	for vm := range s.incarnations {
		if v.ByVM[vm] == nil {
			delete(s.incarnations, vm)
		}
	}
	for vm := range s.leaving {
		if v.ByVM[vm] == nil {
			delete(s.leaving, vm)
		}
	}
}

// location is the position of a node.
type location struct {
	vm, zone, region string
}

// pick chooses the endpoint for a call and counts the attempt. tried holds the
// VMs to which the call was sent before. preferSameZone picks in the node's own
// availability zone first, whatever its headroom.
func (s *serviceTargets) pick(from location, members []*fleetview.Member, route string, p priority.Priority, tried []string, preferSameZone bool) (*fleetview.Member, routing.PickFailure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.candidates = s.candidates[:0]
	for _, m := range members {
		_, isLeaving := s.leaving[m.VM]
		s.candidates = append(s.candidates, routing.Candidate{
			VM:       m.VM,
			Distance: from.distance(m),
			Leaving:  m.Leaving || isLeaving,
			Tried:    contains(tried, m.VM),
			Shedding: s.thresholds.ShouldRefuse(now, targetOf(m.VM, route), p),
		})
	}
	index, failure := -1, routing.PickFailureNone
	if preferSameZone {
		index = s.router.PickSameZone(now, s.candidates, rand.Uint64())
	}
	if index < 0 {
		index, failure = s.router.Pick(now, s.candidates, rand.Uint64())
	}
	if index < 0 {
		return nil, failure
	}
	s.thresholds.RecordSent(now, targetOf(members[index].VM, route), p)
	s.router.Start(now, members[index].VM)
	return members[index], failure
}

// threshold returns the first priority of a route that all known endpoints of the
// service shed.
func (s *serviceTargets) threshold(members []*fleetview.Member, route string) priority.Priority {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	known, ok := s.shedThresholds[route]
	if ok && now-known.computedAt < shedThresholdLifetime {
		return known.threshold
	}
	lowest := priority.Highest
	available := 0
	for _, m := range members {
		if _, isLeaving := s.leaving[m.VM]; isLeaving || m.Leaving || s.router.Ejected(m.VM) {
			continue
		}
		available++
		lowest = max(lowest, s.thresholds.Threshold(now, targetOf(m.VM, route)))
	}
	if available == 0 {
		lowest = priority.Lowest
	}
	s.shedThresholds[route] = shedThreshold{threshold: lowest, computedAt: now}
	return lowest
}

// finishAttempt records the end and the result of an attempt.
func (s *serviceTargets) finishAttempt(vm string, f routing.AttemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.Finish(s.now(), vm, f)
}

// recordReply records the state that a node reports with an answer. A leaving node
// gets no calls until a ping shows that a new process has replaced it.
func (s *serviceTargets) recordReply(vm, route string, r *call.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.thresholds.Update(s.now(), targetOf(vm, route), r.ShedThreshold, r.Headroom)
	s.incarnations[vm] = r.Incarnation
	if r.Leaving {
		s.leaving[vm] = s.now() + leavingPingInterval
	}
}

// incarnation returns the incarnation of a VM that answered last, or 0.
func (s *serviceTargets) incarnation(vm string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnations[vm]
}

// recordSuccess adds percent/100 retries to the service's retry budget.
func (s *serviceTargets) recordSuccess(percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.throttle.RecordSuccess(percent)
}

// spendRetry takes one retry from the budget and reports whether it was available.
func (s *serviceTargets) spendRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.throttle.Spend()
}

func (p location) distance(m *fleetview.Member) routing.Distance {
	switch {
	case m.AvailabilityZone == p.zone:
		return routing.SameZone
	case m.Region == p.region:
		return routing.SameRegion
	default:
		return routing.OtherRegion
	}
}

// targetOf identifies the calls of one route at one VM.
func targetOf(vm, route string) shedding.Target {
	return shedding.Target(xxhash.Sum64String(vm) ^ xxhash.Sum64String(route)<<1)
}

func contains(list []string, value string) bool {
	for _, element := range list {
		if element == value {
			return true
		}
	}
	return false
}
