package ingress

import (
	"time"

	"github.com/galenacart/galenacart/decision/membudget"
)

// stalledMin is how long a client must have made no progress before its request or its connection
// is given up for the memory of others. Clients on the same machine pause for much less.
const stalledMin = time.Second

// EvictStalled gives up requests that have stopped arriving and connections whose client does not
// read, so that others get their memory. It reports whether there were any, and does not wait.
func (s *Server) EvictStalled(bytes int) bool {
	conns, holdings := s.holdings((*conn).duePeer)
	chosen := membudget.Evictions(holdings, bytes, stalledMin)
	for _, i := range chosen {
		conns[i].evict()
	}
	return len(chosen) > 0
}

// holdings returns the connections that choose selects, and what each holds.
func (s *Server) holdings(choose func(*conn) bool) ([]*conn, []membudget.Holding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conns []*conn
	var holdings []membudget.Holding
	for c := range s.conns {
		if choose(c) {
			conns = append(conns, c)
			holdings = append(holdings, membudget.Holding{Bytes: c.memory.Held(), Stalled: c.source.progress.age()})
		}
	}
	return conns, holdings
}

// duePeer reports whether the connection waits for its client to send or to read.
func (c *conn) duePeer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writing || c.reading && !c.paused
}

// isIdle reports whether the connection has no request that was read whole.
func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) == 0
}

// evict gives up the request that arrives, or the connection if its client does not read.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.writing:
		_ = c.raw.Close() // makes the write fail, which closes the connection
	case c.reading && !c.paused:
		c.evicted = true
		_ = c.raw.SetReadDeadline(time.Now()) // makes readRequest return
	}
}

// isEvicted reports whether the request that arrives is given up.
func (c *conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// makeRoom closes the connection without a request that has been idle longest, if the server has
// as many as it may. It returns false if there is none.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	full := len(s.conns) >= s.config.ConnectionsMax
	s.mu.Unlock()
	if !full {
		return true
	}
	conns, holdings := s.holdings((*conn).isIdle)
	i := membudget.LongestIdle(holdings)
	if i < 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conns[i])
	_ = conns[i].raw.Close() // makes run return
	return true
}
