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
	// sendCrashesTimeout bounds the delivery of losses to another node. It is well below
	// the time that the platform allows until all nodes have them.
	sendCrashesTimeout = time.Second
	// expireInterval is the interval between two removals of expired losses.
	expireInterval = 5 * time.Second
)

// suspectTracker records the requests that were running when endpoints crashed, and sends
// these losses to the nodes of all services that may receive such a request.
type suspectTracker struct {
	config   Config
	link     func(*fleetview.Member) *calllink.Link
	nonEmpty atomic.Bool // the ledger holds at least one loss
	learner  *crashLearner

	mu          sync.Mutex
	ledger      *quarantine.Ledger
	expiredAt   time.Duration
	peers       map[string]*peerProgress // by the node's address
	appliedView *fleetview.View
	recipients  map[string]*fleetview.Member // in the applied view, by the node's address
}

// peerProgress records which losses a node has received.
type peerProgress struct {
	session  uint64 // of the link
	revision uint64 // of the ledger
	sending  bool
}

func newSuspectTracker(c Config) *suspectTracker {
	return &suspectTracker{config: c, ledger: quarantine.New(), peers: make(map[string]*peerProgress), learner: newCrashLearner(c)}
}

// fingerprint identifies a request by its content and the service that sends it. It omits the
// headers, since the request's ID and the VM that received it change when a client retries.
func fingerprint(callerService string, r *message.Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{callerService, r.Method, r.Host, r.Target} {
		_, _ = h.WriteString(part) // a hash never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = r.Body.WriteTo(h)
	return h.Sum64()
}

// checkQuarantine returns the remaining quarantine of a request of a service, or 0.
func (s *suspectTracker) checkQuarantine(callerService string, r *message.Request) time.Duration {
	if !s.nonEmpty.Load() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.HoldRemaining(s.config.Now(), fingerprint(callerService, r))
}

// isSuspect reports whether endpoints crashed while running a request of a service that has not
// completed since.
func (s *suspectTracker) isSuspect(callerService string, r *message.Request) bool {
	if !s.nonEmpty.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.CrashCount(fingerprint(callerService, r)) > 0
}

// losses returns the known losses of a request of a service.
func (s *suspectTracker) losses(callerService string, r *message.Request) []quarantine.Loss {
	if !s.nonEmpty.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Losses(s.config.Now(), fingerprint(callerService, r))
}

// recordCrash records that the local endpoint crashed while running a request.
func (s *suspectTracker) recordCrash(r startedRequest, crash uint64) {
	content := r.fingerprint
	s.mu.Lock()
	s.ledger.RecordCrash(s.config.Now(), content, crash, !r.lossKnown)
	lost := s.ledger.CrashCount(content)
	s.nonEmpty.Store(true)
	s.mu.Unlock()
	s.config.Log.Emit(event.EndpointCrashed, r.requestID, event.F("fingerprint", content),
		event.F("crash", crash), event.F("lost", lost), event.F("route", r.route))
}

// recordSuccess records that the local endpoint completed a request of a service.
func (s *suspectTracker) recordSuccess(callerService string, r *message.Request) {
	if !s.nonEmpty.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.RecordCompletion(fingerprint(callerService, r))
}

// merge adds the losses that another node sent.
func (s *suspectTracker) merge(losses []quarantine.Loss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, content := range s.ledger.Merge(s.config.Now(), losses) {
		s.config.Log.Emit(event.SuspectIdentified, "", event.F("fingerprint", content), event.F("lost", s.ledger.CrashCount(content)))
	}
	s.nonEmpty.Store(true)
}

// export returns all known losses. complete is false while a node that has just started may
// lack some that others know.
func (s *suspectTracker) export() (losses []quarantine.Loss, complete bool) {
	complete = s.learner.ended()
	if !s.nonEmpty.Load() {
		return nil, complete
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.ChangesSince(s.config.Now(), 0), complete
}

// beginLearning has a process that has just started fetch the losses that others know.
func (s *suspectTracker) beginLearning() {
	if v := s.config.View.Load(); s.learner.mayBegin(v) {
		go s.learner.learn(slices.Collect(maps.Values(s.lossRecipients(v))), s.link)
	}
}

// awaitLearned waits until a process that has just started knows the losses of others, for
// a bounded time.
func (s *suspectTracker) awaitLearned(ctx context.Context) {
	if !s.learner.ended() {
		s.beginLearning()
		s.learner.await(ctx)
	}
}

// tick removes expired losses and sends new ones to other nodes.
func (s *suspectTracker) tick() {
	s.beginLearning()
	if !s.nonEmpty.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyView(s.config.View.Load())
	if now := s.config.Now(); now-s.expiredAt >= expireInterval {
		s.expiredAt = now
		s.nonEmpty.Store(s.ledger.Expire(now))
	}
	for address, m := range s.recipients {
		s.update(address, s.link(m))
	}
}

// applyView takes the recipients from a view.
func (s *suspectTracker) applyView(v *fleetview.View) {
	if s.appliedView == v {
		return
	}
	s.appliedView, s.recipients = v, s.lossRecipients(v)
	maps.DeleteFunc(s.peers, func(address string, p *peerProgress) bool { return !p.sending && s.recipients[address] == nil })
}

// update starts sending a node the losses that it lacks. The caller holds the lock.
func (s *suspectTracker) update(address string, l *calllink.Link) {
	p := s.peers[address]
	if p == nil {
		p = &peerProgress{}
		s.peers[address] = p
	}
	if p.sending || l.Unresponsive() {
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
	p.sending = true
	go s.sendCrashes(p, l, losses, revision)
}

func (s *suspectTracker) sendCrashes(p *peerProgress, l *calllink.Link, losses []quarantine.Loss, revision uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), sendCrashesTimeout)
	defer cancel()
	first := l.SessionNumber()
	err := l.ReportCrashes(ctx, losses)
	s.mu.Lock()
	defer s.mu.Unlock()
	p.sending = false
	// The first delivery opens the link's first session.
	if session := l.SessionNumber(); err == nil && (session == first || first == 0) {
		p.session, p.revision = session, revision
	}
}

// lossRecipients returns the members, by the addresses of their nodes, that may also
// receive the requests of this VM's service.
func (s *suspectTracker) lossRecipients(v *fleetview.View) map[string]*fleetview.Member {
	members := make(map[string]*fleetview.Member)
	for _, service := range s.servicesSharingRoutes(v) {
		for _, m := range v.ByService[service] {
			if m.VM != s.config.Settings.VM && m.EndpointAddress != s.config.Settings.EndpointAddress {
				members[m.PeerAddress] = m
			}
		}
	}
	return members
}

// servicesSharingRoutes returns this VM's service and all services that share a route with
// it.
func (s *suspectTracker) servicesSharingRoutes(v *fleetview.View) []string {
	own := s.config.Settings.Service
	services := []string{own}
	if v.Index == nil {
		return services
	}
	routes := v.Index.Catalogue().Routes
	for i := range routes {
		routeServices := routes[i].Services()
		if !slices.Contains(routeServices, own) {
			continue
		}
		for _, one := range routeServices {
			if !slices.Contains(services, one) {
				services = append(services, one)
			}
		}
	}
	return services
}
