// Package discovery keeps what a node knows of its deployment: the configuration
// in force and the endpoints with their nodes. It never goes back to an older
// configuration, and publishes each change as a view.
package discovery

import (
	"cmp"
	"context"
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

// Configuration is one version of what operators declare.
type Configuration struct {
	// Version orders configurations.
	Version uint64
	// Catalogue holds routes, services and classes.
	Catalogue *catalogue.Catalogue
	// Bounds bound what clients may send.
	Bounds fleetview.ClientLimits
}

// Source feeds a Board until ctx ends.
type Source interface {
	Run(ctx context.Context, b *Directory)
}

// Directory takes in what a source reads. It is safe for concurrent use.
type Directory struct {
	holder   *fleetview.Holder
	log      *event.Log
	now      func() time.Duration
	peerPort uint16

	mu        sync.Mutex
	book      *registry.Table
	current   *Configuration
	index     *catalogue.Index
	away      bool
	at        storeera.Position         // up to which everything is known
	told      map[string]registry.Entry // the endpoints that listeners know
	listeners map[*Subscriber]struct{}
}

// NewDirectory returns an empty board. peerPort is the port at which each node
// stands beside its endpoint.
func NewDirectory(holder *fleetview.Holder, log *event.Log, now func() time.Duration, peerPort uint16) *Directory {
	return &Directory{
		holder: holder, log: log, now: now, peerPort: peerPort, book: registry.New(),
		told: make(map[string]registry.Entry), listeners: make(map[*Subscriber]struct{}),
	}
}

// ApplyConfiguration takes a configuration into force unless a newer one is.
func (b *Directory) ApplyConfiguration(c *Configuration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configure(c)
}

func (b *Directory) configure(c *Configuration) {
	if b.current != nil && c.Version <= b.current.Version {
		return
	}
	b.current = c
	b.index = catalogue.NewIndex(c.Catalogue)
	b.log.Emit(event.CatalogueInForce, "", event.F("revision", c.Version), event.F("routes", len(c.Catalogue.Routes)))
	b.tell(&Update{Configuration: c})
	b.publish()
}

// PutEndpoint takes in an endpoint.
func (b *Directory) PutEndpoint(e registry.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.put(e)
}

func (b *Directory) put(e registry.Entry) {
	if b.book.Put(e) {
		b.changed(e.ID, e.Leaving)
	}
}

// RemoveEndpoint takes in that an endpoint is no longer published.
func (b *Directory) RemoveEndpoint(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.book.Remove(b.now(), id) {
		b.changed(id, true)
	}
}

func (b *Directory) changed(id string, leaving bool) {
	b.log.Emit(event.MemberChanged, "", event.F("vm", id), event.F("leaving", leaving))
	b.publish()
}

// ReplaceEndpoints takes in all endpoints at once.
func (b *Directory) ReplaceEndpoints(all []registry.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.book.Replace(b.now(), all) {
		b.publish()
	}
}

// ReportInvalid takes in that an entry of the source can't be read.
func (b *Directory) ReportInvalid(key string, why error) {
	b.log.Emit(event.DocumentRefused, "", event.F("key", key), event.F("error", why))
}

// SourceFailed takes in that the source doesn't answer.
func (b *Directory) SourceFailed(why error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.book.MarkUnavailable()
	if !b.away {
		b.away = true
		b.log.Emit(event.PlatformReadFailed, "", event.F("error", why))
	}
}

// SourceRecovered takes in that the source answers.
func (b *Directory) SourceRecovered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.back()
}

func (b *Directory) back() {
	b.book.MarkAvailable(b.now())
	if b.away {
		b.away = false
		b.log.Emit(event.PlatformRecovered, "")
	}
}

// ObserveEra takes in the era that an answer of the source names, before anything else of
// the answer. Only an answer that is current may be taken in.
func (b *Directory) ObserveEra(era uint64) storeera.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	verdict := storeera.Classify(b.at, era)
	switch verdict {
	case storeera.Outdated:
	case storeera.Current:
		b.at.Era = era
	case storeera.Restored:
		b.log.Emit(event.StoreRestored, "", event.F("era", era), event.F("era_before", b.at.Era), event.F("revision_before", b.at.Revision))
		b.at = storeera.Position{Era: era}
		b.book.MarkRestored(b.now())
	}
	return verdict
}

// expireInterval is the time between two looks at entries that lapsed.
const expireInterval = 100 * time.Millisecond

// Run drops entries that do not come back until ctx ends.
func (b *Directory) Run(ctx context.Context) {
	wait.Every(ctx, expireInterval, b.expire)
}

func (b *Directory) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.book.Expire(b.now()) {
		b.publish()
	}
}

// publish makes the view that traffic reads.
func (b *Directory) publish() {
	v := &fleetview.View{
		Index:     b.index,
		ByService: make(map[string][]*fleetview.Member),
		ByVM:      make(map[string]*fleetview.Member),
	}
	if b.current != nil {
		v.Revision = b.current.Version
		v.ClientLimits = b.current.Bounds
	}
	live := b.book.Live()
	b.tellEndpoints(live)
	for _, e := range live {
		m := b.member(&e)
		if m == nil {
			continue
		}
		v.ByService[m.Service] = append(v.ByService[m.Service], m)
		v.ByVM[m.VM] = m
	}
	for _, members := range v.ByService {
		slices.SortFunc(members, func(x, y *fleetview.Member) int { return cmp.Compare(x.EndpointInstance, y.EndpointInstance) })
	}
	b.holder.Store(v)
}

// member returns the VM of an endpoint. The platform names endpoints only, so
// the endpoint's name stands for its VM.
func (b *Directory) member(e *registry.Entry) *fleetview.Member {
	address, err := netip.ParseAddrPort(e.Address)
	if err != nil {
		return nil
	}
	return &fleetview.Member{
		VM:               e.ID,
		AvailabilityZone: e.AvailabilityZone,
		Service:          e.Service,
		PeerAddress:      netip.AddrPortFrom(address.Addr(), b.peerPort).String(),
		Leaving:          e.Leaving,
		EndpointInstance: e.ID,
		EndpointAddress:  e.Address,
		Slots:            e.Slots,
	}
}
