// Package discovery holds a node's state of the deployment: the current configuration and
// the endpoints with their nodes. It never returns to an older configuration, and publishes
// each change as a view.
package discovery

import (
	"cmp"
	"context"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/galenacart/galenacart/decision/registry"
	"github.com/galenacart/galenacart/decision/storeera"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/wait"
)

// Configuration is one version of the operators' configuration.
type Configuration struct {
	// Version orders configurations.
	Version uint64
	// Catalogue contains routes, services and classes.
	Catalogue *catalogue.Catalogue
	// Services names the services of the deployment besides those of the routes.
	Services []string `cbor:",omitempty"`
	// Bounds limit client requests.
	Bounds fleetview.ClientLimits
}

// serviceNames returns the services that the configuration names.
func (c *Configuration) serviceNames() map[string]bool {
	names := make(map[string]bool)
	for _, name := range c.Services {
		names[name] = true
	}
	for i := range c.Catalogue.Routes {
		for _, name := range c.Catalogue.Routes[i].Services() {
			names[name] = true
		}
	}
	return names
}

// Source updates a Directory until ctx is done.
type Source interface {
	Run(ctx context.Context, d *Directory)
	// ListEndpoints returns the endpoints that were published some seconds ago, at a low
	// cost. They show which nodes can be asked for the current state and are no state of
	// their own. The eras of the answers are recorded in the directory.
	ListEndpoints(ctx context.Context, d *Directory) ([]registry.Entry, error)
}

// Directory holds what a source reads. It is safe for concurrent use.
type Directory struct {
	holder   *fleetview.Holder
	log      *event.Log
	now      func() time.Duration
	peerPort uint16

	mu            sync.Mutex
	endpoints     *registry.Table
	configuration *Configuration
	index         *catalogue.Index
	services      map[string]bool // of the configuration
	sourceFailed  bool
	position      storeera.Position               // up to which all changes are applied
	confirmedAt   time.Duration                   // when the source last confirmed that they are
	published     map[string]registry.StoredEntry // last sent to subscribers
	subscribers   map[*Subscriber]struct{}
}

// NewDirectory returns an empty directory. peerPort is the port at which each node listens
// for other nodes, at the IP address of its endpoint.
func NewDirectory(holder *fleetview.Holder, log *event.Log, now func() time.Duration, peerPort uint16) *Directory {
	return &Directory{
		holder: holder, log: log, now: now, peerPort: peerPort, endpoints: registry.New(),
		published: make(map[string]registry.StoredEntry), subscribers: make(map[*Subscriber]struct{}),
	}
}

// heartbeatsToLapse is the number of intervals between the writes of an endpoint in which its
// entry can't lapse: entries lapse after three, and the last one may have just begun when contact
// with the source was lost.
const heartbeatsToLapse = 2

// SetEndpointHeartbeat sets the interval at which endpoints renew their entries, so that outages
// of the source in which none can lapse are recognised.
func (d *Directory) SetEndpointHeartbeat(interval time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endpoints.SetLapseTime(heartbeatsToLapse * interval)
}

// ApplyConfiguration applies a configuration if it is newer than the current one.
func (d *Directory) ApplyConfiguration(c *Configuration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyConfiguration(c)
}

func (d *Directory) applyConfiguration(c *Configuration) {
	if d.configuration != nil && c.Version <= d.configuration.Version {
		return
	}
	d.configuration = c
	d.index = catalogue.NewIndex(c.Catalogue)
	d.services = c.serviceNames()
	d.log.Emit(event.CatalogueInForce, "", event.F("revision", c.Version), event.F("routes", len(c.Catalogue.Routes)))
	d.broadcast(&Update{Configuration: c})
	d.publish()
}

// PutEndpoint adds or updates an endpoint.
func (d *Directory) PutEndpoint(e registry.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.putEndpoint(e)
}

func (d *Directory) putEndpoint(e registry.Entry) {
	if d.endpoints.Put(e) {
		d.endpointChanged(e.ID, e.Leaving)
	}
}

// RemoveEndpoint removes an endpoint that is no longer published.
func (d *Directory) RemoveEndpoint(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.endpoints.Remove(d.now(), id) {
		d.endpointChanged(id, true)
	} else if d.endpoints.IsKept(id) {
		d.broadcastEndpoints()
	}
}

func (d *Directory) endpointChanged(id string, leaving bool) {
	d.log.Emit(event.MemberChanged, "", event.F("vm", id), event.F("leaving", leaving))
	d.publish()
}

// ReplaceEndpoints replaces all endpoints.
func (d *Directory) ReplaceEndpoints(all []registry.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.endpoints.Replace(d.now(), all) {
		d.publish()
		return
	}
	d.broadcastEndpoints() // some may be kept
}

// ReportInvalid logs that an entry of the source can't be decoded.
func (d *Directory) ReportInvalid(key string, err error) {
	d.log.Emit(event.DocumentRefused, "", event.F("key", key), event.F("error", err))
}

// SourceFailed records that the source doesn't respond.
func (d *Directory) SourceFailed(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endpoints.MarkUnavailable(d.lastContact())
	if !d.sourceFailed {
		d.sourceFailed = true
		d.log.Emit(event.PlatformReadFailed, "", event.F("error", err))
	}
}

// ReportLostCall records that the source did not answer a call in time, and whether it has answered
// another on a new connection since. Entries may have lapsed even if it has, as it was not heard
// from meanwhile.
func (d *Directory) ReportLostCall(err error, reached bool) {
	d.log.Emit(event.PlatformCallLost, "", event.F("error", err), event.F("reached", reached))
	d.mu.Lock()
	defer d.mu.Unlock()
	if reached && d.endpoints.MayHaveLapsed(d.now()-d.lastContact()) {
		d.endpoints.MarkUnavailable(d.lastContact())
	}
}

// lastContact returns when the source was last known to respond, or a time before any outage if it
// never was.
func (d *Directory) lastContact() time.Duration {
	if d.confirmedAt == 0 {
		return math.MinInt64 / 2
	}
	return d.confirmedAt
}

// SourceRecovered records that the source responds.
func (d *Directory) SourceRecovered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sourceRecovered()
}

// EndpointCount returns the number of endpoints that are in use.
func (d *Directory) EndpointCount() int {
	return len(d.holder.Load().ByVM)
}

// SourceReached records that the source answers again, although nothing of its state was read yet.
// Endpoints that have to republish their entries can do so from now on.
func (d *Directory) SourceReached() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endpoints.MarkAvailable(d.now())
}

func (d *Directory) sourceRecovered() {
	d.endpoints.MarkAvailable(d.now())
	if d.sourceFailed {
		d.sourceFailed = false
		d.log.Emit(event.PlatformRecovered, "")
	}
}

// ObserveEra records the era of a response from the source, before anything else of the
// response is applied. Only a response with the verdict Current may be applied.
func (d *Directory) ObserveEra(era uint64) storeera.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	verdict := storeera.Classify(d.position, era)
	switch verdict {
	case storeera.Outdated:
	case storeera.Current:
		if era != d.position.Era {
			d.endpoints.FinalizeRemoved() // the era of what other nodes reported is not known
		}
		d.position.Era = era
	case storeera.Restored:
		d.log.Emit(event.StoreRestored, "", event.F("era", era), event.F("era_before", d.position.Era), event.F("revision_before", d.position.Revision))
		d.position = storeera.Position{Era: era}
		d.endpoints.MarkRestored(d.now())
	}
	return verdict
}

// expireInterval is the time between two checks for expired entries.
const expireInterval = 100 * time.Millisecond

// Run removes expired entries until ctx is done.
func (d *Directory) Run(ctx context.Context) {
	wait.Every(ctx, expireInterval, d.expire)
}

func (d *Directory) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.endpoints.Expire(d.now()) {
		d.publish()
	}
}

// publish stores the view that requests are routed by.
func (d *Directory) publish() {
	v := &fleetview.View{
		Index:        d.index,
		ChangedSince: d.confirmedAt,
		ByService:    make(map[string][]*fleetview.Member),
		ByVM:         make(map[string]*fleetview.Member),
	}
	if d.configuration != nil {
		v.Revision = d.configuration.Version
		v.ClientLimits = d.configuration.Bounds
	}
	live := d.endpoints.Live(d.knowsService)
	d.broadcastEndpoints()
	for _, e := range live {
		m := d.member(&e)
		if m == nil {
			continue
		}
		v.ByService[m.Service] = append(v.ByService[m.Service], m)
		v.ByVM[m.VM] = m
	}
	for _, members := range v.ByService {
		slices.SortFunc(members, func(x, y *fleetview.Member) int { return cmp.Compare(x.EndpointInstance, y.EndpointInstance) })
	}
	d.holder.Store(v)
}

// knowsService reports whether a service is one of the deployment. Entries of others name no
// endpoint to use. All are accepted while no configuration names any service.
func (d *Directory) knowsService(name string) bool {
	return len(d.services) == 0 || d.services[name]
}

// member returns the VM of an endpoint, or nil if its address is invalid. The platform names
// only endpoints, so the endpoint's name is used for its VM.
func (d *Directory) member(e *registry.Entry) *fleetview.Member {
	peerAddress := d.PeerAddress(e.Address)
	if peerAddress == "" {
		return nil
	}
	return &fleetview.Member{
		VM:                e.ID,
		AvailabilityZone:  e.AvailabilityZone,
		Service:           e.Service,
		PeerAddress:       peerAddress,
		Leaving:           e.Leaving,
		EndpointInstance:  e.ID,
		EndpointStartedMs: e.StartedMs,
		EndpointAddress:   e.Address,
		Slots:             e.Slots,
	}
}

// PeerAddress returns the address at which the node of an endpoint listens for other nodes,
// or an empty string if the endpoint's address is invalid.
func (d *Directory) PeerAddress(endpointAddress string) string {
	address, err := netip.ParseAddrPort(endpointAddress)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(address.Addr(), d.peerPort).String()
}
