package traffic

import (
	"context"
	"sync"
	"time"

	"github.com/galenacart/galenacart/decision/suspect"
	"github.com/galenacart/galenacart/internal/call"
)

// suspects guards the local endpoint against requests that break endpoints.
type suspects struct {
	now func() time.Duration

	mu      sync.Mutex
	book    *suspect.Table
	learned map[uint64]int
	running map[*run]struct{}
	epoch   int           // counts the breakdowns of the endpoint
	alone   chan struct{} // holds a value while a suspect runs
	told    chan struct{} // closed when the service's nodes know of the last breakdown
}

// run is one call at the endpoint, from the suspects' point of view.
type run struct {
	fingerprint uint64
	suspect     bool
	epoch       int
}

func newSuspects(now func() time.Duration) *suspects {
	return &suspects{
		now:     now,
		book:    suspect.NewTable(),
		running: make(map[*run]struct{}),
		alone:   make(chan struct{}, 1),
	}
}

// learn takes over what other nodes reported.
func (s *suspects) learn(losses map[uint64]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learned = losses
}

// enter lets a call to the endpoint. A suspect waits until no other one runs.
// It returns nil when the call must not run.
func (s *suspects) enter(ctx context.Context, fingerprint uint64) *run {
	switch s.judge(fingerprint) {
	case suspect.VerdictRefuse:
		return nil
	case suspect.VerdictAllow:
		return s.start(&run{fingerprint: fingerprint})
	}
	select {
	case s.alone <- struct{}{}:
	case <-ctx.Done():
		return nil
	}
	// Another run of the same request may have broken the endpoint meanwhile.
	if s.judge(fingerprint) == suspect.VerdictRefuse {
		<-s.alone
		return nil
	}
	return s.start(&run{fingerprint: fingerprint, suspect: true})
}

func (s *suspects) judge(fingerprint uint64) suspect.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Decide(s.now(), fingerprint, s.learned[fingerprint])
}

func (s *suspects) start(r *run) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.epoch = s.epoch
	s.running[r] = struct{}{}
	return r
}

// leave takes a call back. answered clears a suspect.
func (s *suspects) leave(r *run, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, r)
	if !r.suspect {
		return
	}
	<-s.alone
	if answered {
		s.book.RecordCompletion(s.now(), r.fingerprint, s.learned[r.fingerprint])
	}
}

// losses returns the endpoints lost to a request, as far as this node knows.
func (s *suspects) losses(fingerprint uint64) call.EndpointLoss {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := max(s.book.Losses(s.now(), fingerprint), s.learned[fingerprint])
	return call.EndpointLoss{Fingerprint: fingerprint, Count: uint8(min(count, 1<<8-1))}
}

// lost takes in what a call or an answer tells of lost endpoints.
func (s *suspects) lost(one call.EndpointLoss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Merge(s.now(), one.Fingerprint, int(one.Count))
}

// crashed blames the calls that ran when the endpoint broke down. It returns
// the blamed fingerprints, and none when another call deals with the breakdown.
// told is closed when the other nodes know of it.
func (s *suspects) crashed(r *run) (blamed []uint64, told chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.epoch != s.epoch {
		return nil, s.told
	}
	s.epoch++
	s.told = make(chan struct{})
	var all, known []uint64
	for one := range s.running {
		all = append(all, one.fingerprint)
		if one.suspect {
			known = append(known, one.fingerprint)
		}
	}
	return s.book.RecordCrash(s.now(), all, known), s.told
}
