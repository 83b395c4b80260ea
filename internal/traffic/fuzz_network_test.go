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

// blockedPollInterval is the interval at which a blocked connection checks whether
// it may continue.
const blockedPollInterval = 5 * time.Millisecond

// Errors of in-memory connections.
var (
	errRefusedConn    = errors.New("connection refused")
	errListenerClosed = errors.New("listener closed")
)

// processKind is the kind of a process of a history.
type processKind uint8

const (
	callerProcess processKind = iota
	nodeProcess
	endpointProcess
)

// process is a process that opens and accepts connections.
type process struct {
	kind processKind
	vm   string
	zone string
	dead atomic.Bool
}

// network holds the in-memory connections of one history.
type network struct {
	plans []connPlan // for the connections between VMs, in order of opening
	tally *tally

	mu              sync.Mutex
	opened          int
	repeats         int
	listeners       map[string]*memoryListener
	conns           map[*memoryConn]struct{}
	paused          map[string]bool // by VM: the node's process is paused
	partitionedZone string          // the partitioned availability zone, or empty
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

// Close makes the address refuse further connections.
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

// Network returns the kind of address.
func (memoryAddr) Network() string { return "memory" }

// String returns the address.
func (a memoryAddr) String() string { return string(a) }

// dialer returns the DialFunc of a process.
func (n *network) dialer(from *process) DialFunc {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		for {
			l := n.listener(address)
			if from.dead.Load() || l == nil {
				return nil, errRefusedConn
			}
			if !n.isPartitioned(from, l.owner) {
				return n.connect(ctx, from, l)
			}
			if !wait.For(ctx, blockedPollInterval) {
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

// isPartitioned reports whether a partition separates two processes. Callers reach
// every availability zone.
func (n *network) isPartitioned(a, b *process) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isPartitionedLocked(a, b)
}

func (n *network) isPartitionedLocked(a, b *process) bool {
	if n.partitionedZone == "" || a.kind == callerProcess || b.kind == callerProcess {
		return false
	}
	return (a.zone == n.partitionedZone) != (b.zone == n.partitionedZone)
}

// isBlocked reports whether a connection currently forwards no bytes.
func (n *network) isBlocked(c *memoryConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isPaused(c.from) || n.isPaused(c.to.owner) || n.isPartitionedLocked(c.from, c.to.owner)
}

func (n *network) isPaused(p *process) bool {
	return p.kind == nodeProcess && n.paused[p.vm]
}

func (n *network) pause(vm string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[vm] = on
}

// partition separates an availability zone from the others. An empty name ends the
// partition.
func (n *network) partition(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitionedZone = zone
}

// endFaults ends all partitions and pauses.
func (n *network) endFaults() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitionedZone = ""
	clear(n.paused)
}

// matchingConns returns the connections for which matches returns true.
func (n *network) matchingConns(matches func(c *memoryConn) bool) []*memoryConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*memoryConn
	for c := range n.conns {
		if matches(c) {
			out = append(out, c)
		}
	}
	return out
}

// silence makes every open connection between VMs discard all further data.
func (n *network) silence() {
	for _, c := range n.matchingConns(func(c *memoryConn) bool { return c.remote() }) {
		c.silent.Store(true)
	}
}

// closeConnsOf closes the connections that an ended process had opened. Data sent
// before may still arrive.
func (n *network) closeConnsOf(p *process) {
	for _, c := range n.matchingConns(func(c *memoryConn) bool { return c.from == p }) {
		_ = c.near.Close()
	}
}

// close closes every connection.
func (n *network) close() {
	for _, c := range n.matchingConns(func(*memoryConn) bool { return true }) {
		c.close()
	}
}

func (n *network) repeatCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.repeats
}
