package proxy

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenacart/galenacart/decision/quarantine"
	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/message"
)

const (
	// tellTimeout bounds the time in which another node takes in losses. It is well
	// within the time that the platform allows until all know of them.
	tellTimeout = time.Second
	// expireInterval is the time between two looks for losses that are too old.
	expireInterval = 5 * time.Second
)

// suspects knows the requests that ran when endpoints crashed, and shares that with the
// nodes of all services to which such a request may be sent.
type suspects struct {
	config   Config
	link     func(*fleetview.Member) *calllink.Link
	nonEmpty atomic.Bool // the ledger holds something

	mu      sync.Mutex
	ledger  *quarantine.Ledger
	expired time.Duration
	peers   map[string]*informed // by the node's address
	applied *fleetview.View
	members map[string]*fleetview.Member // the audience in that view, by the node's address
}

// informed is what a node was told.
type informed struct {
	session  uint64 // of the link
	revision uint64 // of the ledger
	telling  bool
}

func newSuspects(c Config) *suspects {
	return &suspects{config: c, ledger: quarantine.New(), peers: make(map[string]*informed)}
}

// fingerprint recognises a request by its content. Its ID and the VM where it began
// change when it is sent again.
func fingerprint(r *message.Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.Target} {
		_, _ = h.WriteString(part) // a hash never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// held returns the time for which a request is held back, or 0.
func (s *suspects) held(r *message.Request) time.Duration {
	if !s.nonEmpty.Load() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.HoldRemaining(s.config.Now(), fingerprint(r))
}

// losses returns the crashes that are known of a request.
func (s *suspects) losses(r *message.Request) []quarantine.Loss {
	if !s.nonEmpty.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Losses(s.config.Now(), fingerprint(r))
}

// blame takes in that the local endpoint crashed while it ran a request.
func (s *suspects) blame(r *message.Request, route string, crash uint64) {
	content := fingerprint(r)
	s.mu.Lock()
	s.ledger.RecordCrash(s.config.Now(), content, crash)
	lost := s.ledger.CrashCount(content)
	s.nonEmpty.Store(true)
	s.mu.Unlock()
	s.config.Log.Emit(event.EndpointCrashed, r.Header.Get(s.config.Headers.RequestID), event.F("fingerprint", content),
		event.F("crash", crash), event.F("lost", lost), event.F("route", route))
}

// excuse takes in that the local endpoint ran a request to its end.
func (s *suspects) excuse(r *message.Request) {
	if !s.nonEmpty.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.RecordCompletion(fingerprint(r))
}

// learn takes in what another node told.
func (s *suspects) learn(losses []quarantine.Loss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, content := range s.ledger.Merge(s.config.Now(), losses) {
		s.config.Log.Emit(event.SuspectIdentified, "", event.F("fingerprint", content), event.F("lost", s.ledger.CrashCount(content)))
	}
	s.nonEmpty.Store(true)
}

// tick forgets what is too old, and tells other nodes what they don't know yet.
func (s *suspects) tick() {
	if !s.nonEmpty.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow(s.config.View.Load())
	if now := s.config.Now(); now-s.expired >= expireInterval {
		s.expired = now
		s.nonEmpty.Store(s.ledger.Expire(now))
	}
	for address, m := range s.members {
		s.inform(address, s.link(m))
	}
}

// follow takes the audience from a view.
func (s *suspects) follow(v *fleetview.View) {
	if s.applied == v {
		return
	}
	s.applied, s.members = v, s.audience(v)
	maps.DeleteFunc(s.peers, func(address string, p *informed) bool { return !p.telling && s.members[address] == nil })
}

// inform begins to tell a node what it doesn't know yet. It is called under the lock.
func (s *suspects) inform(address string, l *calllink.Link) {
	p := s.peers[address]
	if p == nil {
		p = &informed{}
		s.peers[address] = p
	}
	if p.telling || l.Unresponsive() {
		return
	}
	if session := l.SessionNumber(); session != p.session {
		p.session, p.revision = session, 0
	}
	revision := s.ledger.Revision()
	if p.revision == revision {
		return
	}
	losses := s.ledger.ChangesSince(s.config.Now(), p.revision)
	if len(losses) == 0 {
		p.revision = revision
		return
	}
	p.telling = true
	go s.tell(p, l, losses, revision)
}

func (s *suspects) tell(p *informed, l *calllink.Link, losses []quarantine.Loss, revision uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	first := l.SessionNumber()
	err := l.ReportCrashes(ctx, losses)
	s.mu.Lock()
	defer s.mu.Unlock()
	p.telling = false
	// The first session is opened by the telling itself.
	if session := l.SessionNumber(); err == nil && (session == first || first == 0) {
		p.session, p.revision = session, revision
	}
}

// audience returns the members, by the addresses of their nodes, to which a request of
// this VM's service may be sent as well.
func (s *suspects) audience(v *fleetview.View) map[string]*fleetview.Member {
	members := make(map[string]*fleetview.Member)
	for _, service := range s.kindred(v) {
		for _, m := range v.ByService[service] {
			if m.VM != s.config.Settings.VM && m.EndpointAddress != s.config.Settings.EndpointAddress {
				members[m.PeerAddress] = m
			}
		}
	}
	return members
}

// kindred returns the services that share a route with that of this VM, and that one.
func (s *suspects) kindred(v *fleetview.View) []string {
	own := s.config.Settings.Service
	services := []string{own}
	if v.Index == nil {
		return services
	}
	routes := v.Index.Catalogue().Routes
	for i := range routes {
		all := routes[i].Services()
		if !slices.Contains(all, own) {
			continue
		}
		for _, one := range all {
			if !slices.Contains(services, one) {
				services = append(services, one)
			}
		}
	}
	return services
}
