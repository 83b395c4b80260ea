package calllink

import (
	"context"
	"time"
)

const (
	// livenessValidity is the age of the last message up to which a call is sent without a
	// liveness check. When a link or node fails, the calls of this period are lost.
	livenessValidity = 150 * time.Millisecond
	// livenessTimeout limits the wait for a message before a call is sent. A node answers a
	// ping within a few ms, also from another region.
	livenessTimeout = 100 * time.Millisecond
)

// livenessCheck is a wait for a message on a link that has been idle.
type livenessCheck struct {
	since time.Duration
	done  chan struct{} // closed when any message arrives or the session ends
}

// confirmAlive pings the other node unless a message arrived recently, and reports whether
// it responds. A call that is sent to a silent node may or may not run; one that fails this
// check was not sent and can be retried elsewhere.
// The wait ends when withdrawn is closed.
func (s *session) confirmAlive(ctx context.Context, withdrawn <-chan struct{}) bool {
	if s.now()-time.Duration(s.stream.lastReceived.Load()) <= livenessValidity {
		return true
	}
	check := s.startLivenessCheck()
	if check == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	select {
	case <-check.done:
		return true
	case <-ctx.Done():
		return false
	case <-withdrawn:
		return false
	}
}

// startLivenessCheck returns the liveness check in progress, or starts one. It returns nil
// if the check in progress has timed out.
func (s *session) startLivenessCheck() *livenessCheck {
	s.mu.Lock()
	check, started := s.liveness, false
	if check == nil && !s.ended {
		check, started = &livenessCheck{since: s.now(), done: make(chan struct{})}, true
		s.liveness = check
	}
	s.mu.Unlock()
	switch {
	case started:
		s.ping()
	case check != nil && s.now()-check.since >= livenessTimeout:
		return nil
	}
	return check
}

// recordActivity ends the liveness check after a message arrived.
func (s *session) recordActivity() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLivenessCheck()
}

// endLivenessCheck wakes the calls that wait for the check. The caller holds s.mu.
func (s *session) endLivenessCheck() {
	if s.liveness != nil {
		close(s.liveness.done)
		s.liveness = nil
	}
}

// awaiting reports whether calls or a liveness check wait for the other node, and for how
// long a message has been due.
func (s *session) awaiting() (waiting bool, silence time.Duration) {
	s.mu.Lock()
	pending, check := len(s.pending), s.liveness
	s.mu.Unlock()
	now := s.now()
	if pending > 0 {
		waiting, silence = true, s.stream.silenceAt(now)
	}
	if check != nil {
		waiting, silence = true, max(silence, now-check.since)
	}
	return waiting, silence
}

// livenessCheckFailed reports whether the liveness check in progress has timed out.
func (s *session) livenessCheckFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.liveness != nil && s.now()-s.liveness.since >= livenessTimeout
}
