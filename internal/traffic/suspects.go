package traffic

import (
	"context"
	"sync"
	"time"

	"github.com/galenacart/galenacart/decision/suspect"
	"github.com/galenacart/galenacart/internal/call"
)

// suspects protects the local endpoint from requests that crash endpoints.
type suspects struct {
	now func() time.Duration

	mu          sync.Mutex
	table       *suspect.Table
	reported    map[uint64]int
	running     map[*runningCall]struct{}
	epoch       int           // number of detected crashes of the endpoint
	suspectSlot chan struct{} // holds a value while a suspect request runs
	published   chan struct{} // closed once the last crash has been published to the service's nodes
}

// runningCall is a call running at the endpoint.
type runningCall struct {
	fingerprint uint64
	suspect     bool
	epoch       int
}

func newSuspects(now func() time.Duration) *suspects {
	return &suspects{
		now:         now,
		table:       suspect.NewTable(),
		running:     make(map[*runningCall]struct{}),
		suspectSlot: make(chan struct{}, 1),
	}
}

// setReported sets the losses that other nodes reported, by fingerprint.
func (s *suspects) setReported(losses map[uint64]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported = losses
}

// acquire admits a call to the endpoint. Suspect calls run one at a time. It
// returns nil when the call must not run.
func (s *suspects) acquire(ctx context.Context, fingerprint uint64) *runningCall {
	switch s.decide(fingerprint) {
	case suspect.VerdictRefuse:
		return nil
	case suspect.VerdictAllow:
		return s.addRunning(&runningCall{fingerprint: fingerprint})
	}
	select {
	case s.suspectSlot <- struct{}{}:
	case <-ctx.Done():
		return nil
	}
	// Another run of the same request may have crashed the endpoint meanwhile.
	if s.decide(fingerprint) == suspect.VerdictRefuse {
		<-s.suspectSlot
		return nil
	}
	return s.addRunning(&runningCall{fingerprint: fingerprint, suspect: true})
}

func (s *suspects) decide(fingerprint uint64) suspect.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Decide(s.now(), fingerprint, s.reported[fingerprint])
}

func (s *suspects) addRunning(r *runningCall) *runningCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.epoch = s.epoch
	s.running[r] = struct{}{}
	return r
}

// release removes a call that has ended. An answered call clears its suspicion.
func (s *suspects) release(r *runningCall, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, r)
	if !r.suspect {
		return
	}
	<-s.suspectSlot
	if answered {
		s.table.RecordCompletion(s.now(), r.fingerprint, s.reported[r.fingerprint])
	}
}

// losses returns the endpoint losses caused by a request that this node knows of.
func (s *suspects) losses(fingerprint uint64) call.EndpointLoss {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := max(s.table.Losses(s.now(), fingerprint), s.reported[fingerprint])
	return call.EndpointLoss{Fingerprint: fingerprint, Count: uint8(min(count, 1<<8-1))}
}

// merge records the endpoint losses reported by a call or an answer.
func (s *suspects) merge(loss call.EndpointLoss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Merge(s.now(), loss.Fingerprint, int(loss.Count))
}

// recordCrash marks the calls that ran when the endpoint crashed as suspect. It
// returns their fingerprints, or none when another call already handles the
// crash. published is closed once the other nodes have been informed.
func (s *suspects) recordCrash(r *runningCall) (suspected []uint64, published chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.epoch != s.epoch {
		return nil, s.published
	}
	s.epoch++
	s.published = make(chan struct{})
	var all, known []uint64
	for entry := range s.running {
		all = append(all, entry.fingerprint)
		if entry.suspect {
			known = append(known, entry.fingerprint)
		}
	}
	return s.table.RecordCrash(s.now(), all, known), s.published
}
