package traffic

import (
	"context"
	"sync"
	"time"

	"github.com/galenacart/galenacart/decision/priority"
	"github.com/galenacart/galenacart/decision/retry"
	"github.com/galenacart/galenacart/internal/call"
)

// parent is a call that the local endpoint runs. The endpoint's own calls name
// it and inherit from it.
type parent struct {
	ctx         context.Context
	root        call.ID
	priority    priority.Priority
	deadline    time.Duration
	depth       uint8
	correlation string
	route       string
	idempotent  bool
	abandon     context.CancelCauseFunc
	pool        *budget
	losses      *losses
	origin      origin
	children    *records

	mu        sync.Mutex
	flying    int
	busySince time.Duration
	waited    time.Duration
	seen      map[uint64]*childState
}

// childState is what is known of earlier identical calls of the endpoint.
type childState struct {
	flying   int
	answered bool
}

// parents holds the calls that the local endpoint runs.
type parents struct {
	mu   sync.Mutex
	byID map[call.ID]*parent
}

func newParents() *parents {
	return &parents{byID: make(map[call.ID]*parent)}
}

func (p *parents) add(id call.ID, one *parent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byID[id] = one
}

func (p *parents) remove(id call.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byID, id)
}

// abandonIdempotent cancels the calls that may be run elsewhere, because the
// endpoint has stalled. The others may still run and must wait for their fate.
func (p *parents) abandonIdempotent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.byID {
		if one.idempotent {
			one.abandon(errStalled)
		}
	}
}

func (p *parents) get(id call.ID) *parent {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byID[id]
}

// childStarts counts a call of the endpoint. resend is true when the same call
// is in flight or failed before, beside when it is in flight.
func (p *parent) childStarts(now time.Duration, fingerprint uint64) (resend, beside bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.flying == 0 {
		p.busySince = now
	}
	p.flying++
	s, known := p.seen[fingerprint]
	if !known {
		s = &childState{}
		p.seen[fingerprint] = s
	}
	beside = s.flying > 0
	resend = known && (beside || !s.answered)
	s.flying++
	return resend, beside
}

// childEnds takes back a call of the endpoint.
func (p *parent) childEnds(now time.Duration, fingerprint uint64, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.flying--
	if p.flying == 0 {
		p.waited += now - p.busySince
	}
	s := p.seen[fingerprint]
	s.flying--
	s.answered = answered
}

// downstreamWait returns the time for which at least one call of the endpoint
// was in flight.
func (p *parent) downstreamWait(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.flying > 0 {
		return p.waited + now - p.busySince
	}
	return p.waited
}

// doubt reports whether a call of the endpoint may have broken another endpoint.
func (p *parent) doubt() bool {
	p.mu.Lock()
	flying := p.flying > 0
	p.mu.Unlock()
	return flying || p.losses.doubtHere()
}

// budget is a retry pool that calls in flight side by side share.
type budget struct {
	mu   sync.Mutex
	pool *retry.RequestBudget
}

func newBudget(tokens int) *budget {
	return &budget{pool: retry.NewRequestBudget(tokens)}
}

func (b *budget) left() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool.Remaining()
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool.Spend()
}

func (b *budget) hand() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool.Split()
}

func (b *budget) giveBack(handed, unspent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pool.Reclaim(handed, unspent)
}
