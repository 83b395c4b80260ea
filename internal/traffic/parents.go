package traffic

import (
	"context"
	"sync"
	"time"

	"github.com/galenacart/galenacart/decision/priority"
	"github.com/galenacart/galenacart/decision/retry"
	"github.com/galenacart/galenacart/internal/call"
)

// parent is a call that the local endpoint runs. Calls that the endpoint makes on
// its behalf name it and inherit its properties.
type parent struct {
	ctx          context.Context
	root         call.ID
	priority     priority.Priority
	deadline     time.Duration
	depth        uint8
	correlation  string
	route        string
	idempotent   bool
	cancelCause  context.CancelCauseFunc
	retryBudget  *sharedBudget
	losses       *losses
	origin       origin
	childRecords *recordTable

	mu            sync.Mutex
	inFlight      int
	inFlightSince time.Duration
	waited        time.Duration
	childStates   map[uint64]*childState
}

// childState describes earlier identical child calls.
type childState struct {
	inFlight int
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

func (p *parents) add(id call.ID, added *parent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byID[id] = added
}

func (p *parents) remove(id call.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byID, id)
}

// cancelIdempotent cancels the idempotent calls of a stalled endpoint, which can be
// retried elsewhere. The others may still run, so their outcome is awaited.
func (p *parents) cancelIdempotent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, running := range p.byID {
		if running.idempotent {
			running.cancelCause(errEndpointStalled)
		}
	}
}

func (p *parents) get(id call.ID) *parent {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byID[id]
}

// startChild records the start of a child call. resend is true when the same call
// is in flight or has failed before, concurrent when it is in flight.
func (p *parent) startChild(now time.Duration, fingerprint uint64) (resend, concurrent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight == 0 {
		p.inFlightSince = now
	}
	p.inFlight++
	s, known := p.childStates[fingerprint]
	if !known {
		s = &childState{}
		p.childStates[fingerprint] = s
	}
	concurrent = s.inFlight > 0
	resend = known && (concurrent || !s.answered)
	s.inFlight++
	return resend, concurrent
}

// finishChild records the end of a child call.
func (p *parent) finishChild(now time.Duration, fingerprint uint64, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	if p.inFlight == 0 {
		p.waited += now - p.inFlightSince
	}
	s := p.childStates[fingerprint]
	s.inFlight--
	s.answered = answered
}

// downstreamWait returns the total time during which at least one child call was
// in flight.
func (p *parent) downstreamWait(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight > 0 {
		return p.waited + now - p.inFlightSince
	}
	return p.waited
}

// possibleCrash reports whether a child call may have crashed another endpoint.
func (p *parent) possibleCrash() bool {
	p.mu.Lock()
	inFlight := p.inFlight > 0
	p.mu.Unlock()
	return inFlight || p.losses.hasPossibleCrashBelow()
}

// sharedBudget is a retry.RequestBudget shared by concurrent calls.
type sharedBudget struct {
	mu     sync.Mutex
	budget *retry.RequestBudget
}

func newSharedBudget(tokens int) *sharedBudget {
	return &sharedBudget{budget: retry.NewRequestBudget(tokens)}
}

func (b *sharedBudget) remaining() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Remaining()
}

func (b *sharedBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Spend()
}

func (b *sharedBudget) split() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Split()
}

func (b *sharedBudget) reclaim(passed, unspent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Reclaim(passed, unspent)
}
