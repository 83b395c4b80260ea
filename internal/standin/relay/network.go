package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/galenacart/galenacart/internal/wait"
)

// Mode is the effect of a partition on the connections that cross it.
type Mode string

// Values of Mode.
const (
	// ModeBlackHole blocks all data. Open connections stay open, new ones hang.
	ModeBlackHole Mode = "blackhole"
	// ModeReset resets open connections. New ones hang.
	ModeReset Mode = "reset"
	// ModeInbound blocks data into the zones and lets data out of them pass. New
	// connections hang.
	ModeInbound Mode = "inbound"
	// ModeOutbound blocks data out of the zones and lets data into them pass. New
	// connections hang.
	ModeOutbound Mode = "outbound"
	// ModeDelay delays all data.
	ModeDelay Mode = "delay"
)

// Partition describes which availability zones are isolated from all other zones
// and from addresses outside all zones. Without a zone there is no partition.
type Partition struct {
	// AvailabilityZones lists the zones, each isolated on its own.
	AvailabilityZones []string `json:"availabilityZones"`
	// Mode is the effect on connections. Default blackhole.
	Mode Mode `json:"mode,omitempty" validate:"omitempty,oneof=blackhole reset inbound outbound delay"`
	// DelayMs is the delay of each read of data in the mode delay, in milliseconds.
	DelayMs int `json:"delayMs,omitempty" validate:"required_if=Mode delay,min=0,max=60000"`
}

// separates reports whether the partition separates two zones.
func (p *Partition) separates(from, to string) bool {
	return slices.ContainsFunc(p.AvailabilityZones, func(zone string) bool {
		return (from == zone) != (to == zone)
	})
}

// blocksConnections reports whether new connections between two zones hang.
func (p *Partition) blocksConnections(from, to string) bool {
	return p.Mode != ModeDelay && p.separates(from, to)
}

// blocksData reports whether data from one zone to another is held back until the
// partition ends.
func (p *Partition) blocksData(from, to string) bool {
	switch p.Mode {
	case ModeDelay:
		return false
	case ModeInbound:
		return from != to && slices.Contains(p.AvailabilityZones, to)
	case ModeOutbound:
		return from != to && slices.Contains(p.AvailabilityZones, from)
	default:
		return p.separates(from, to)
	}
}

// delay returns the delay of data between two zones.
func (p *Partition) delay(from, to string) time.Duration {
	if p.Mode != ModeDelay || !p.separates(from, to) {
		return 0
	}
	return time.Duration(p.DelayMs) * time.Millisecond
}

// network holds the current partition. It is safe for concurrent use.
type network struct {
	mu        sync.Mutex
	partition Partition
	changed   chan struct{} // closed when the partition changes
}

func newNetwork() *network {
	return &network{changed: make(chan struct{})}
}

func (n *network) setPartition(p Partition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partition = p
	close(n.changed)
	n.changed = make(chan struct{})
}

// state returns the partition and a channel that is closed when it changes.
func (n *network) state() (Partition, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partition, n.changed
}

// waitConnect waits until a connection between two zones may be established. It
// returns false if ctx ends or the partition resets connections.
func (n *network) waitConnect(ctx context.Context, from, to string) bool {
	return n.await(ctx, func(p *Partition) bool { return !p.blocksConnections(from, to) })
}

// waitData waits until data may pass from one zone to another. It returns false if
// ctx ends or the partition resets connections.
func (n *network) waitData(ctx context.Context, from, to string) bool {
	partition, _ := n.state()
	if delay := partition.delay(from, to); delay > 0 && !wait.For(ctx, delay) {
		return false
	}
	return n.await(ctx, func(p *Partition) bool { return !p.blocksData(from, to) })
}

// await waits until allowed holds for the current partition. It returns false if
// ctx ends or the partition resets connections.
func (n *network) await(ctx context.Context, allowed func(c *Partition) bool) bool {
	for {
		partition, changed := n.state()
		if allowed(&partition) {
			return ctx.Err() == nil
		}
		if partition.Mode == ModeReset {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}
