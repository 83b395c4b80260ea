package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/galenacart/galenacart/internal/wait"
)

// Mode says what becomes of connections that cross a cut.
type Mode string

// The modes.
const (
	// ModeBlackHole stops all bytes; connections stay open, and new ones hang.
	ModeBlackHole Mode = "blackhole"
	// ModeReset resets open connections, and new ones hang.
	ModeReset Mode = "reset"
	// ModeInbound stops the bytes into the zones; those out of them pass, and new
	// connections hang.
	ModeInbound Mode = "inbound"
	// ModeOutbound stops the bytes out of the zones; those into them pass, and new
	// connections hang.
	ModeOutbound Mode = "outbound"
	// ModeDelay lets all bytes pass, later.
	ModeDelay Mode = "delay"
)

// Partition says which availability zones are cut off from all others and from what is
// outside of all. No zone means that the network is whole.
type Partition struct {
	// AvailabilityZones lists the zones, each cut off for itself.
	AvailabilityZones []string `json:"availabilityZones"`
	// Mode says what becomes of connections. Default blackhole.
	Mode Mode `json:"mode,omitempty" validate:"omitempty,oneof=blackhole reset inbound outbound delay"`
	// DelayMs is the time in ms by which the mode Delay holds back what was read at once.
	DelayMs int `json:"delayMs,omitempty" validate:"required_if=Mode delay,min=0,max=60000"`
}

// separates reports whether the cut stands between two zones.
func (c *Partition) separates(from, to string) bool {
	return slices.ContainsFunc(c.AvailabilityZones, func(zone string) bool {
		return (from == zone) != (to == zone)
	})
}

// refuses reports whether new connections between two zones hang.
func (c *Partition) refuses(from, to string) bool {
	return c.Mode != ModeDelay && c.separates(from, to)
}

// stops reports whether bytes from one zone to another wait for the end of the cut.
func (c *Partition) stops(from, to string) bool {
	switch c.Mode {
	case ModeDelay:
		return false
	case ModeInbound:
		return from != to && slices.Contains(c.AvailabilityZones, to)
	case ModeOutbound:
		return from != to && slices.Contains(c.AvailabilityZones, from)
	default:
		return c.separates(from, to)
	}
}

// delay returns how much later bytes between two zones pass.
func (c *Partition) delay(from, to string) time.Duration {
	if c.Mode != ModeDelay || !c.separates(from, to) {
		return 0
	}
	return time.Duration(c.DelayMs) * time.Millisecond
}

// network is the state of the cut. It is safe for concurrent use.
type network struct {
	mu      sync.Mutex
	cut     Partition
	changed chan struct{} // closed when the cut changes
}

func newNetwork() *network {
	return &network{changed: make(chan struct{})}
}

func (n *network) set(c Partition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = c
	close(n.changed)
	n.changed = make(chan struct{})
}

// state returns the cut and a channel that closes when it changes.
func (n *network) state() (Partition, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut, n.changed
}

// connect waits until a connection between two zones may begin. It reports false
// when it never will: ctx has ended or the cut resets connections.
func (n *network) connect(ctx context.Context, from, to string) bool {
	return n.await(ctx, func(c *Partition) bool { return !c.refuses(from, to) })
}

// pass waits until bytes may go from one zone to another. It reports false when they
// never will: ctx has ended or the cut resets connections.
func (n *network) pass(ctx context.Context, from, to string) bool {
	cut, _ := n.state()
	if delay := cut.delay(from, to); delay > 0 && !wait.For(ctx, delay) {
		return false
	}
	return n.await(ctx, func(c *Partition) bool { return !c.stops(from, to) })
}

func (n *network) await(ctx context.Context, open func(c *Partition) bool) bool {
	for {
		cut, changed := n.state()
		if open(&cut) {
			return ctx.Err() == nil
		}
		if cut.Mode == ModeReset {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}
