package calllink

import (
	"context"
	"time"
)

const (
	// freshFor is the age of the last sign of life up to which a call is sent at
	// once. What a cut or a node that stands still costs are the calls of this time.
	freshFor = 150 * time.Millisecond
	// proofTimeout bounds the wait for a sign of life before a call is sent. A node
	// answers a probe within a few ms, also from another region.
	proofTimeout = 100 * time.Millisecond
)

// proof is a wait for a sign of life on a link that has been quiet.
type proof struct {
	since    time.Duration
	answered chan struct{} // closed at any sign, or when the session ends
}

// prove asks for a sign of life if none came lately, and reports whether the other
// node is there. A call that is sent into silence may run or not; one that waits
// for this has not run and goes elsewhere.
func (s *session) prove(ctx context.Context) bool {
	if s.now()-time.Duration(s.stream.came.Load()) <= freshFor {
		return true
	}
	p := s.begin()
	if p == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	select {
	case <-p.answered:
		return true
	case <-ctx.Done():
		return false
	}
}

// begin returns the proof that is under way, or begins one. It returns nil if that
// one has been waited for in vain.
func (s *session) begin() *proof {
	s.mu.Lock()
	p, begun := s.proving, false
	if p == nil && !s.ended {
		p, begun = &proof{since: s.now(), answered: make(chan struct{})}, true
		s.proving = p
	}
	s.mu.Unlock()
	switch {
	case begun:
		s.ping()
	case p != nil && s.now()-p.since >= proofTimeout:
		return nil
	}
	return p
}

// proved takes in a sign of life.
func (s *session) proved() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endProof()
}

// endProof releases the calls that wait for a proof. It is called under the lock.
func (s *session) endProof() {
	if s.proving != nil {
		close(s.proving.answered)
		s.proving = nil
	}
}

// waiting reports whether calls or a proof wait for the other node, and for how long
// a sign of life has been due.
func (s *session) waiting() (waits bool, silent time.Duration) {
	s.mu.Lock()
	calls, p := len(s.calls), s.proving
	s.mu.Unlock()
	now := s.now()
	if calls > 0 {
		waits, silent = true, s.stream.silentFor(now)
	}
	if p != nil {
		waits, silent = true, max(silent, now-p.since)
	}
	return waits, silent
}

// unproven reports whether a proof was waited for in vain.
func (s *session) unproven() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proving != nil && s.now()-s.proving.since >= proofTimeout
}
