package endpoint

import "sync"

// gate counts the admitted calls and can be closed to new ones. The zero value is
// open.
type gate struct {
	mu     sync.Mutex
	active int // number of admitted calls
	closed bool
	idle   chan struct{} // closed when the gate is closed and no call is active
}

// enter admits a call. It returns false if the gate is closed.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.active++
	return true
}

// leave marks the end of an admitted call.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.closed && g.active == 0 {
		close(g.idle)
	}
}

// close stops the admission of calls. It returns a channel that is closed when no
// call is active, and whether the gate was open before.
func (g *gate) close() (<-chan struct{}, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return g.idle, false
	}
	g.closed = true
	g.idle = make(chan struct{})
	if g.active == 0 {
		close(g.idle)
	}
	return g.idle, true
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}
