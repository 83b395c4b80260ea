package caller

import (
	"sync"
	"time"
)

const (
	// initialExclusion is the time for which a node is skipped after its first
	// failure. It doubles with every further one.
	initialExclusion = 500 * time.Millisecond
	// maxExclusion bounds the time for which a node is skipped.
	maxExclusion = 8 * time.Second
)

// health records which nodes failed to answer.
type health struct {
	mu    sync.Mutex
	nodes map[string]nodeFailures
}

// nodeFailures counts the consecutive failures of a node.
type nodeFailures struct {
	count         int
	excludedUntil time.Time
}

func newHealth() *health {
	return &health{nodes: make(map[string]nodeFailures)}
}

func (h *health) recordFailure(address string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.nodes[address]
	f.excludedUntil = now.Add(min(initialExclusion<<min(f.count, 10), maxExclusion))
	f.count++
	h.nodes[address] = f
}

func (h *health) recordAnswer(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.nodes, address)
}

func (h *health) usable(address string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f, known := h.nodes[address]
	return !known || !now.Before(f.excludedUntil)
}
