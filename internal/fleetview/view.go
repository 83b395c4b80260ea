// Package fleetview provides the data path's view of the fleet: an immutable snapshot that
// the control thread replaces and the data path reads with one atomic load.
package fleetview

import (
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/internal/catalogue"
)

// Member is one VM of the fleet.
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
	// Incarnation identifies the run of the node's process; 0 means unknown.
	Incarnation uint64
	// Leaving reports whether the VM accepts no new work.
	Leaving bool
	// EndpointInstance identifies the run of the VM's endpoint, if the platform publishes
	// it.
	EndpointInstance string
	// EndpointStartedMs is the start of that run, in milliseconds since the Unix epoch, if the
	// platform publishes it. An endpoint may start again under the same EndpointInstance.
	EndpointStartedMs int64
	// EndpointAddress is the IP address and port of the VM's endpoint, if the platform
	// publishes it.
	EndpointAddress string
	// Slots is the number of calls that the endpoint runs at once, if the platform
	// publishes it.
	Slots int
}

// View is one immutable snapshot.
type View struct {
	// Index is the current catalogue, or nil before the first one.
	Index *catalogue.Index
	// Revision is the platform's revision of the current catalogue.
	Revision uint64
	// ChangedSince is the time, since the process started, up to which the view before this one
	// was complete: what differs between the two was published later.
	ChangedSince time.Duration
	// ByService holds the members of each service in a stable order.
	ByService map[string][]*Member
	// ByVM holds the members by the VM's name.
	ByVM map[string]*Member
	// Suspects maps the fingerprints of requests that crashed endpoints to the number of
	// crashed endpoints.
	Suspects map[uint64]int
	// Leaving reports whether this node is stopping.
	Leaving bool
	// ClientLimits bounds clients' requests, if the platform publishes limits.
	ClientLimits ClientLimits
}

// RouteNames returns the names of the current routes.
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

// ClientLimits bounds the size and duration of clients' requests.
type ClientLimits struct {
	// HeaderBytes is the largest request header.
	HeaderBytes int
	// BodyBytes is the largest request body.
	BodyBytes int64
	// HeaderTimeout bounds the time for reading a request header.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
}

// Holder publishes views. The zero value holds an empty view.
type Holder struct {
	current atomic.Pointer[View]
}

var emptyView = &View{}

// Load returns the newest view. It never returns nil.
func (h *Holder) Load() *View {
	if v := h.current.Load(); v != nil {
		return v
	}
	return emptyView
}

// Store publishes a view. Only the control thread may call it.
func (h *Holder) Store(v *View) {
	h.current.Store(v)
}
