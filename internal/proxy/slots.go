package proxy

import (
	"context"
	"time"

	"github.com/galenacart/galenacart/decision/slotqueue"
	"github.com/galenacart/galenacart/internal/calllink"
)

// acquireSlot waits for a slot of the endpoint. It returns nil, or the refusal if the call gets
// none.
func (s *endpointServer) acquireSlot(ctx context.Context, call *calllink.Call, deadline time.Duration) *calllink.Reply {
	id, verdict, wait := s.requestSlot(call, deadline)
	if verdict != slotqueue.Wait {
		return slotRefusal(verdict)
	}
	timer := time.NewTimer(deadline - s.config.Now())
	defer timer.Stop()
	select {
	case verdict = <-wait:
		return slotRefusal(verdict)
	case <-call.Withdrawn:
		s.cancelWait(id, wait)
		return refusalReply(calllink.RefusedWithdrawn, "the call was taken back")
	case <-ctx.Done():
	case <-timer.C:
	}
	s.cancelWait(id, wait)
	return slotRefusal(slotqueue.Refuse)
}

// slotRefusal returns the reply to a call that the queue does not run, or nil.
func slotRefusal(verdict slotqueue.Decision) *calllink.Reply {
	switch verdict {
	case slotqueue.Run:
		return nil
	case slotqueue.Leave:
		return refusalReply(calllink.RefusedLeaving, "the endpoint or its node leaves before the call would end")
	default:
		return refusalReply(calllink.RefusedNoCapacity, "the endpoint has no slot in time")
	}
}

func (s *endpointServer) requestSlot(call *calllink.Call, deadline time.Duration) (uint64, slotqueue.Decision, chan slotqueue.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyView()
	now := s.config.Now()
	s.nextID++
	id := s.nextID
	verdict := s.gate.Offer(now, slotqueue.Call{
		ID: id, Rank: call.Rank, Deadline: deadline,
		EstimatedDuration: s.estimatedDuration(call.Route), TypicalDuration: s.typicalDuration(call.Route),
	})
	s.observePressure(now)
	if verdict != slotqueue.Wait {
		return id, verdict, nil
	}
	wait := make(chan slotqueue.Decision, 1)
	s.waiting[id] = wait
	s.returnWaiting()
	return id, verdict, wait
}

// cancelWait removes a waiting call. If the call got a slot in the meantime, the slot is
// released.
func (s *endpointServer) cancelWait(id uint64, wait chan slotqueue.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
	if s.gate.Cancel(id) {
		s.observePressure(s.config.Now())
		return
	}
	if verdict := <-wait; verdict == slotqueue.Run {
		s.releaseSlot(0)
	}
}

// recordStart records that the endpoint starts to run a call of a route.
func (s *endpointServer) recordStart(route string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.graph.RecordStart(route)
}

// finishedCall describes a call that releases its slot.
type finishedCall struct {
	route     string
	startedAt time.Duration
	deadline  time.Duration
	completed bool // it completed successfully
	refused   bool // the endpoint did not run it
}

// recordEnd records the end of a call and releases its slot.
func (s *endpointServer) recordEnd(e finishedCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	took, allowed := now-e.startedAt, max(e.deadline-e.startedAt, 0)
	s.refusals.Observe(e.refused)
	if e.completed {
		s.graph.RecordEnd(e.route)
		u, ok := s.durationEstimators[e.route]
		if !ok {
			u = &slotqueue.DurationEstimator{}
			s.durationEstimators[e.route] = u
		}
		u.RecordEnd(now, took, allowed)
	}
	s.releaseSlot(min(took, allowed))
}

// estimatedDuration returns the typical duration of a call of a route, or 0 if it is unknown.
func (s *endpointServer) estimatedDuration(route string) time.Duration {
	u := s.durationEstimators[route]
	if u == nil {
		return 0
	}
	return u.Estimate(s.config.Now())
}

// typicalDuration returns how long calls of a route have taken, or 0 if that is unknown.
func (s *endpointServer) typicalDuration(route string) time.Duration {
	u := s.durationEstimators[route]
	if u == nil {
		return 0
	}
	return u.Typical()
}

// releaseSlot frees a slot that was held for a time and resumes waiting calls.
func (s *endpointServer) releaseSlot(took time.Duration) {
	now := s.config.Now()
	s.resumeWaiting(s.gate.Finish(now, took, s.releases[:0]))
	s.observePressure(now)
}

// resumeWaiting passes decisions on to waiting calls.
func (s *endpointServer) resumeWaiting(decided []slotqueue.Dequeued) {
	s.releases = decided
	for _, r := range decided {
		s.waiting[r.ID] <- r.Decision
		delete(s.waiting, r.ID)
	}
}

// observePressure updates the pressure gauge with the gate's occupancy.
func (s *endpointServer) observePressure(now time.Duration) {
	s.pressure.Observe(now, s.gate.Busy(), s.gate.Capacity())
}
