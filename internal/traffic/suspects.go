package traffic

import (
	"sync"
	"time"

	"github.com/galenacart/galenacart/decision/suspect"
)

// suspects guards the local endpoint against requests that break endpoints.
type suspects struct {
	now func() time.Duration

	mu      sync.Mutex
	book    *suspect.Book
	learned map[uint64]int
	running map[*run]struct{}
	alone   bool // a suspect runs
	epoch   int  // counts the breakdowns of the endpoint
}

// run is one call at the endpoint, from the suspects' point of view.
type run struct {
	fingerprint uint64
	suspect     bool
	epoch       int
}

func newSuspects(now func() time.Duration) *suspects {
	return &suspects{now: now, book: suspect.NewBook(), running: make(map[*run]struct{})}
}

// learn takes over what other nodes reported.
func (s *suspects) learn(losses map[uint64]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learned = losses
}

// enter lets a call to the endpoint, or returns nil when it must not run now.
func (s *suspects) enter(fingerprint uint64) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := s.book.Judge(s.now(), fingerprint, s.learned[fingerprint])
	if verdict == suspect.VerdictRefuse || (verdict == suspect.VerdictAlone && s.alone) {
		return nil
	}
	r := &run{fingerprint: fingerprint, suspect: verdict == suspect.VerdictAlone, epoch: s.epoch}
	s.alone = s.alone || r.suspect
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
	s.alone = false
	if answered {
		s.book.Cleared(r.fingerprint)
	}
}

// crashed blames the calls that ran when the endpoint broke down. It returns
// the blamed fingerprints, and none when the breakdown was dealt with already.
func (s *suspects) crashed(r *run) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.epoch != s.epoch {
		return nil
	}
	s.epoch++
	var all, known []uint64
	for one := range s.running {
		all = append(all, one.fingerprint)
		if one.suspect {
			known = append(known, one.fingerprint)
		}
	}
	return s.book.Crashed(s.now(), all, known)
}
