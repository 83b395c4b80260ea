package ingress

// InterruptBlocking interrupts the running requests that ready responses of the same connection
// wait for. It does not wait until these responses are written.
func (s *Server) InterruptBlocking() {
	s.interrupt((*conn).blocking)
}

// InterruptAll interrupts all running requests. It does not wait until the responses are written.
func (s *Server) InterruptAll() {
	s.interrupt((*conn).running)
}

// interrupt responds to the requests that choose returns and cancels their handlers.
func (s *Server) interrupt(choose func(*conn) []*exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if chosen := choose(c); len(chosen) > 0 {
			go c.interrupt(chosen) // a client that reads slowly must not hold up the others
		}
	}
}

func (c *conn) interrupt(chosen []*exchange) {
	for _, e := range chosen {
		c.setResponse(e, c.server.config.Interrupted(e.id))
		e.cancel()
	}
	c.writeReady()
}

// running returns the requests without a response.
func (c *conn) running() []*exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return withoutResponse(c.queue)
}

// blocking returns the requests without a response that precede a ready response.
func (c *conn) blocking() []*exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.queue) - 1; i >= 0; i-- {
		if c.queue[i].response != nil {
			return withoutResponse(c.queue[:i])
		}
	}
	return nil
}

func withoutResponse(queue []*exchange) []*exchange {
	var running []*exchange
	for _, e := range queue {
		if e.response == nil {
			running = append(running, e)
		}
	}
	return running
}
