package endpoint

import "sync"

// gate counts the calls inside and can be closed to further ones. The zero
// value is open.
type gate struct {
	mu     sync.Mutex
	inside int
	closed bool
	idle   chan struct{} // closed when the gate is closed and nobody is inside
}

// enter lets one call in, unless the gate is closed.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.inside++
	return true
}

// leave ends one call.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside--
	if g.closed && g.inside == 0 {
		close(g.idle)
	}
}

// close lets no further call in. It returns a channel that is closed when
// nobody is inside, and whether this was the first close.
func (g *gate) close() (<-chan struct{}, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return g.idle, false
	}
	g.closed = true
	g.idle = make(chan struct{})
	if g.inside == 0 {
		close(g.idle)
	}
	return g.idle, true
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}
