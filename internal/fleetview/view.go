// Package fleetview is what traffic knows of the fleet: an immutable snapshot that
// the control thread replaces and traffic reads with one atomic load.
package fleetview

import (
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/internal/catalogue"
)

// Member is one VM of the fleet as traffic sees it.
type Member struct {
	// VM is the unique name of the VM.
	VM string
	// AvailabilityZone is the VM's availability zone.
	AvailabilityZone string
	// Region is the region of the availability zone.
	Region string
	// Service is the service of the VM's endpoint.
	Service string
	// PeerAddress is the IP address and port of the VM's node.
	PeerAddress string
	// Incarnation identifies the run of the node's process; 0 is not known yet.
	Incarnation uint64
	// Leaving says that the VM takes no new work.
	Leaving bool
	// EndpointInstance identifies the run of the VM's endpoint, where the platform
	// publishes it.
	EndpointInstance string
	// EndpointAddress is the IP address and port of the VM's endpoint, where the
	// platform publishes it.
	EndpointAddress string
	// Slots is the number of calls that the endpoint runs at once, where the
	// platform publishes it.
	Slots int
}

// View is one immutable snapshot.
type View struct {
	// Index is the catalogue in force, or nil before the first one.
	Index *catalogue.Index
	// Revision is the platform's revision of the catalogue in force.
	Revision uint64
	// ByService holds the members of each service in a stable order.
	ByService map[string][]*Member
	// ByVM holds the members by the VM's name.
	ByVM map[string]*Member
	// Suspects holds the fingerprints of requests that crashed endpoints, with
	// the number of endpoints lost.
	Suspects map[uint64]int
	// Leaving says that this node is stopping.
	Leaving bool
	// ClientLimits are limits for clients' connections, where the platform publishes
	// them.
	ClientLimits ClientLimits
}

// RouteNames returns the names of the routes in force.
func (v *View) RouteNames() map[string]bool {
	names := make(map[string]bool)
	if v.Index == nil {
		return names
	}
	routes := v.Index.Catalogue().Routes
	for i := range routes {
		names[routes[i].Name] = true
	}
	return names
}

// ClientLimits bound what a client may send and how long it may take.
type ClientLimits struct {
	// HeaderBytes is the largest head of a request.
	HeaderBytes int
	// BodyBytes is the largest body of a request.
	BodyBytes int64
	// HeaderTimeout is the time for the head of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
}

// Holder publishes views. The zero value holds an empty view.
type Holder struct {
	current atomic.Pointer[View]
}

var empty = &View{}

// Load returns the newest view. It never returns nil.
func (h *Holder) Load() *View {
	if v := h.current.Load(); v != nil {
		return v
	}
	return empty
}

// Store publishes a view. Only the control thread calls it.
func (h *Holder) Store(v *View) {
	h.current.Store(v)
}
