package control

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// network is an in-memory network of named zones. Zones can be partitioned from
// all others; a connection that sends bytes across a partition drops all bytes
// from then on.
type network struct {
	mu          sync.Mutex
	listeners   map[string]*listener // by address
	partitioned map[string]bool      // by zone
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, partitioned: map[string]bool{}}
}

// reachable reports whether two zones can exchange bytes.
func (n *network) reachable(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a == b || !n.partitioned[a] && !n.partitioned[b]
}

func (n *network) setPartitioned(zone string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[zone] = partitioned
}

type listener struct {
	network *network
	zone    string
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
	mu      sync.Mutex
	conns   []net.Conn
}

func (n *network) listen(zone, address string) *listener {
	l := &listener{network: n, zone: zone, address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and its connections, as the end of a process does.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
		l.network.mu.Unlock()
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, c := range l.conns {
			_ = c.Close()
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// dialer returns the DialContext of a client in a zone.
func (n *network) dialer(zone string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[address]
		n.mu.Unlock()
		if l == nil {
			return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
		}
		if !n.reachable(zone, l.zone) {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
		near, far := net.Pipe()
		pair := &pair{network: n, a: zone, b: l.zone}
		server := &conn{Conn: far, pair: pair}
		l.mu.Lock()
		l.conns = append(l.conns, server)
		l.mu.Unlock()
		select {
		case l.accept <- server:
			return &conn{Conn: near, pair: pair}, nil
		case <-l.closed:
			return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
	}
}

// pair is the shared state of both ends of a connection.
type pair struct {
	network    *network
	a, b       string
	mu         sync.Mutex
	blackholed bool
}

func (p *pair) canDeliver() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholed = p.blackholed || !p.network.reachable(p.a, p.b)
	return !p.blackholed
}

// conn drops all written bytes, without an error, once its pair is blackholed.
type conn struct {
	net.Conn
	pair *pair
}

func (c *conn) Write(b []byte) (int, error) {
	if !c.pair.canDeliver() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// waitUntil advances fake time until the condition holds, at most by longest. It
// reports whether the condition held.
func waitUntil(longest time.Duration, condition func() bool) bool {
	for end := time.Now().Add(longest); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
