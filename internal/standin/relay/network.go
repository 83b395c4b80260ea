package relay

import (
	"context"
	"slices"
	"sync"
)

// Mode says what becomes of connections that cross a cut.
type Mode string

// The modes.
const (
	// BlackHole stops all bytes; connections stay open, and new ones hang.
	BlackHole Mode = "blackhole"
	// Reset resets open connections, and new ones hang.
	Reset Mode = "reset"
)

// Cut says which availability zones are cut off from all others and from what is
// outside of all. No zone means that the network is whole.
type Cut struct {
	// AvailabilityZones lists the zones, each cut off for itself.
	AvailabilityZones []string `json:"availabilityZones"`
	// Mode says what becomes of connections. Default blackhole.
	Mode Mode `json:"mode,omitempty" validate:"omitempty,oneof=blackhole reset"`
}

// separates reports whether the cut stands between two zones.
func (c *Cut) separates(from, to string) bool {
	return slices.ContainsFunc(c.AvailabilityZones, func(zone string) bool {
		return (from == zone) != (to == zone)
	})
}

// network is the state of the cut. It is safe for concurrent use.
type network struct {
	mu      sync.Mutex
	cut     Cut
	changed chan struct{} // closed when the cut changes
}

func newNetwork() *network {
	return &network{changed: make(chan struct{})}
}

func (n *network) set(c Cut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = c
	close(n.changed)
	n.changed = make(chan struct{})
}

// state returns the cut and a channel that closes when it changes.
func (n *network) state() (Cut, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut, n.changed
}

// pass waits until bytes may go between two zones. It reports false when they
// never will: ctx has ended or the cut resets connections.
func (n *network) pass(ctx context.Context, from, to string) bool {
	for {
		cut, changed := n.state()
		if !cut.separates(from, to) {
			return ctx.Err() == nil
		}
		if cut.Mode == Reset {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}
