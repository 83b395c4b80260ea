package proxy

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// parentDeadlines holds the deadlines that the local endpoint was given for the requests that it runs.
// The calls that it makes for a request expire at the deadline of that request.
type parentDeadlines struct {
	mu     sync.Mutex
	nextID uint64
	byID   map[uint64]time.Duration
}

func newParentDeadlines() *parentDeadlines {
	return &parentDeadlines{byID: make(map[uint64]time.Duration)}
}

// add records a request that the endpoint begins to run. The returned function records its end.
func (p *parentDeadlines) add(deadline time.Duration) (remove func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	id := p.nextID
	p.byID[id] = deadline
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.byID, id)
	}
}

// all returns the deadlines of the requests that run.
func (p *parentDeadlines) all() []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.byID))
}
