package traffic

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// relay stands between two nodes and can lose what it carries.
type relay struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	pairs []*pair
	// onAnswer is asked about each piece of an answer. It returns false when
	// the piece and the connection are to be lost.
	onAnswer func(piece []byte) bool
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
	look := r.onAnswer
	r.mu.Unlock()
	return look == nil || look(piece)
}

// silence makes every open connection carry nothing for good. New ones work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
}

// lead sends new connections to another address.
func (r *relay) lead(to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.to = to
}

// loseAnswers asks look about each piece of an answer.
func (r *relay) loseAnswers(look func(piece []byte) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onAnswer = look
}

func (p *pair) copy(to, from net.Conn, look func([]byte) bool) {
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
		if look != nil && !look(buffer[:n]) {
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
