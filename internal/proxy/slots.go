package proxy

import (
	"context"
	"time"

	"github.com/galenacart/galenacart/decision/slotqueue"
	"github.com/galenacart/galenacart/internal/calllink"
)

// enter waits until a call has a slot of the endpoint. It returns false when the
// call will not get one.
func (s *endpointServer) enter(ctx context.Context, call *calllink.Call, deadline time.Duration) bool {
	id, verdict, wait := s.offer(call, deadline)
	if verdict != slotqueue.Wait {
		return verdict == slotqueue.Run
	}
	timer := time.NewTimer(deadline - s.config.Now())
	defer timer.Stop()
	select {
	case verdict = <-wait:
		return verdict == slotqueue.Run
	case <-ctx.Done():
	case <-timer.C:
	}
	return s.withdraw(id, wait)
}

func (s *endpointServer) offer(call *calllink.Call, deadline time.Duration) (uint64, slotqueue.Decision, chan slotqueue.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow()
	now := s.config.Now()
	s.nextID++
	id := s.nextID
	verdict := s.gate.Offer(now, slotqueue.Call{ID: id, Rank: call.Rank, Deadline: deadline, EstimatedDuration: s.usualTime(call.Route)})
	s.observe(now)
	if verdict != slotqueue.Wait {
		return id, verdict, nil
	}
	wait := make(chan slotqueue.Decision, 1)
	s.waiting[id] = wait
	return id, verdict, wait
}

// withdraw takes back a call that waits. If it has got a slot in the meantime,
// it gives the slot back.
func (s *endpointServer) withdraw(id uint64, wait chan slotqueue.Decision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
	if s.gate.Cancel(id) {
		s.observe(s.config.Now())
		return false
	}
	if verdict := <-wait; verdict == slotqueue.Run {
		s.release(0)
	}
	return false
}

// started takes in that the endpoint begins to run a call of a route.
func (s *endpointServer) started(route string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.graph.RecordStart(route)
}

// ended is a call that leaves its slot.
type ended struct {
	route    string
	began    time.Duration
	deadline time.Duration
	whole    bool // it ran to its end
	refused  bool // the endpoint did not run it
}

// leave gives the slot of a call back.
func (s *endpointServer) leave(e ended) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	took, allowed := now-e.began, max(e.deadline-e.began, 0)
	s.refusals.Observe(e.refused)
	if e.whole {
		s.graph.RecordEnd(e.route)
		u, ok := s.usual[e.route]
		if !ok {
			u = &slotqueue.DurationEstimator{}
			s.usual[e.route] = u
		}
		u.RecordEnd(now, took, allowed)
	}
	s.release(min(took, allowed))
}

// usualTime returns the time that a call of a route usually takes, or 0.
func (s *endpointServer) usualTime(route string) time.Duration {
	u := s.usual[route]
	if u == nil {
		return 0
	}
	return u.Estimate(s.config.Now())
}

// release frees a slot that was held for a time.
func (s *endpointServer) release(took time.Duration) {
	now := s.config.Now()
	s.releases = s.gate.Finish(now, took, s.releases[:0])
	for _, r := range s.releases {
		s.waiting[r.ID] <- r.Decision
		delete(s.waiting, r.ID)
	}
	s.observe(now)
}

// observe tells the pressure how full the endpoint is.
func (s *endpointServer) observe(now time.Duration) {
	s.pressure.Observe(now, s.gate.Busy(), s.gate.Limit())
}
