package caller

import (
	"sync"
	"time"
)

const (
	// avoidFirst is the time for which a node is passed over after a failure. It
	// doubles with every further one.
	avoidFirst = 500 * time.Millisecond
	// avoidMax bounds the time for which a node is passed over.
	avoidMax = 8 * time.Second
)

// health remembers which nodes failed to answer.
type health struct {
	mu    sync.Mutex
	nodes map[string]failures
}

// failures is what is known of a node that failed.
type failures struct {
	count int
	until time.Time
}

func newHealth() *health {
	return &health{nodes: make(map[string]failures)}
}

func (h *health) failed(address string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.nodes[address]
	f.until = now.Add(min(avoidFirst<<min(f.count, 10), avoidMax))
	f.count++
	h.nodes[address] = f
}

func (h *health) answered(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.nodes, address)
}

func (h *health) usable(address string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f, known := h.nodes[address]
	return !known || !now.Before(f.until)
}
