package traffic

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/wait"
)

// holdStep is the time between two looks whether held bytes may go on.
const holdStep = 5 * time.Millisecond

// Errors of connections in memory.
var (
	errRefusedConn    = errors.New("connection refused")
	errListenerClosed = errors.New("listener closed")
)

// processKind tells the processes of a history apart.
type processKind uint8

const (
	callerProcess processKind = iota
	nodeProcess
	endpointProcess
)

// process is one end of connections.
type process struct {
	kind processKind
	vm   string
	zone string
	dead atomic.Bool
}

// network holds the connections in memory of one history.
type network struct {
	plans []connPlan // of the connections between VMs, in turn
	tally *tally

	mu        sync.Mutex
	opened    int
	repeats   int
	listeners map[string]*memoryListener
	conns     map[*memoryConn]struct{}
	paused    map[string]bool // by VM: the node's process stands still
	parted    string          // the availability zone that is cut off, or empty
}

func newNetwork(plans []connPlan, tl *tally) *network {
	return &network{
		plans:     plans,
		tally:     tl,
		listeners: make(map[string]*memoryListener),
		conns:     make(map[*memoryConn]struct{}),
		paused:    make(map[string]bool),
	}
}

// memoryListener is the listener of one process at one address.
type memoryListener struct {
	network *network
	owner   *process
	address string
	accepts chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (n *network) listen(owner *process, address string) *memoryListener {
	l := &memoryListener{
		network: n, owner: owner, address: address,
		accepts: make(chan net.Conn), done: make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Accept waits for a connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepts:
		return c, nil
	case <-l.done:
		return nil, errListenerClosed
	}
}

// Close refuses further connections.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr returns the address.
func (l *memoryListener) Addr() net.Addr {
	return memoryAddr(l.address)
}

type memoryAddr string

// Network names the kind of address.
func (memoryAddr) Network() string { return "memory" }

// String returns the address.
func (a memoryAddr) String() string { return string(a) }

// dialer returns the function by which a process opens connections.
func (n *network) dialer(from *process) DialFunc {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		for {
			l := n.listener(address)
			if from.dead.Load() || l == nil {
				return nil, errRefusedConn
			}
			if !n.apart(from, l.owner) {
				return n.connect(ctx, from, l)
			}
			if !wait.For(ctx, holdStep) {
				return nil, ctx.Err()
			}
		}
	}
}

func (n *network) listener(address string) *memoryListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listeners[address]
}

// apart reports whether a cut lies between two processes. Callers reach every
// availability zone.
func (n *network) apart(a, b *process) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.apartLocked(a, b)
}

func (n *network) apartLocked(a, b *process) bool {
	if n.parted == "" || a.kind == callerProcess || b.kind == callerProcess {
		return false
	}
	return (a.zone == n.parted) != (b.zone == n.parted)
}

// held reports whether the bytes of a connection stand still now.
func (n *network) held(c *memoryConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.standsStill(c.from) || n.standsStill(c.to.owner) || n.apartLocked(c.from, c.to.owner)
}

func (n *network) standsStill(p *process) bool {
	return p.kind == nodeProcess && n.paused[p.vm]
}

func (n *network) pause(vm string, yes bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[vm] = yes
}

// part cuts an availability zone off; an empty name heals.
func (n *network) part(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.parted = zone
}

// heal ends everything that holds bytes back.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.parted = ""
	clear(n.paused)
}

// open returns the connections for which take returns true.
func (n *network) open(take func(c *memoryConn) bool) []*memoryConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*memoryConn
	for c := range n.conns {
		if take(c) {
			out = append(out, c)
		}
	}
	return out
}

// silence makes every connection between VMs carry nothing for good.
func (n *network) silence() {
	for _, c := range n.open(func(c *memoryConn) bool { return c.remote() }) {
		c.silent.Store(true)
	}
}

// end closes what a dead process had opened. What it sent before may arrive.
func (n *network) end(p *process) {
	for _, c := range n.open(func(c *memoryConn) bool { return c.from == p }) {
		_ = c.near.Close()
	}
}

// close ends every connection.
func (n *network) close() {
	for _, c := range n.open(func(*memoryConn) bool { return true }) {
		c.close()
	}
}

func (n *network) repeatCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.repeats
}
