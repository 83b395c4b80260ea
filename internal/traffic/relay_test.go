package traffic

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// relay forwards connections between two nodes and can drop their data.
type relay struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	pairs []*pair
	// acceptAnswer is called with each piece of an answer. If it returns false, the
	// piece is dropped and the connection closed.
	acceptAnswer func(piece []byte) bool
}

// pair is one connection through a relay.
type pair struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: l, to: to}
	go r.accept()
	t.Cleanup(func() {
		_ = l.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, p := range r.pairs {
			p.close()
		}
	})
	return r
}

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		to := r.to
		r.mu.Unlock()
		far, err := net.Dial("tcp", to)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pair{near: near, far: far}
		r.mu.Lock()
		r.pairs = append(r.pairs, p)
		r.mu.Unlock()
		go p.copy(far, near, nil)
		go p.copy(near, far, r.inspect)
	}
}

func (r *relay) inspect(piece []byte) bool {
	r.mu.Lock()
	accept := r.acceptAnswer
	r.mu.Unlock()
	return accept == nil || accept(piece)
}

// silence makes every open connection discard all further data. New ones work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
}

// redirect forwards new connections to another address.
func (r *relay) redirect(to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.to = to
}

// filterAnswers sets the function that decides on each piece of an answer.
func (r *relay) filterAnswers(accept func(piece []byte) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acceptAnswer = accept
}

func (p *pair) copy(to, from net.Conn, accept func([]byte) bool) {
	defer p.close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		if silent {
			continue
		}
		if accept != nil && !accept(buffer[:n]) {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}
