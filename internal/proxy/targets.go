package proxy

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/galenacart/galenacart/decision/placement"
	"github.com/galenacart/galenacart/decision/quarantine"
	"github.com/galenacart/galenacart/decision/retry"
	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/fleetview"
)

// targets holds the state of the endpoints that this node sends calls to.
type targets struct {
	now         func() time.Duration
	ownVM       string
	exportState func() []byte // encoded deployment state of this node
	mergeLosses func([]quarantine.Loss)
	zone        string

	mu         sync.Mutex
	states     map[string]*target   // by the endpoint instance
	links      map[string]*zoneLink // by the node's address
	zones      map[string]*zoneLinks
	candidates []placement.Candidate
	budgets    map[string]*retry.ServiceBudget
	nodes      int // in the view
}

// leavingRetryPause is the time after which an endpoint that reported it is leaving is
// tried again, since its node may have been replaced.
const leavingRetryPause = time.Second

// target is the known state of one endpoint.
type target struct {
	load         placement.State
	typicalTimes map[string]*typicalTime // by route
	leavingUntil time.Duration
	left         bool          // a run of the endpoint has said that it is leaving
	leftRunMs    int64         // start of that run
	leftAt       time.Duration // when it last said so
}

// typicalTime is the typical duration of a route's calls at an endpoint.
type typicalTime struct {
	duration time.Duration
	at       time.Duration // when it was reported, or last tested by a call
}

// typicalTimeMaxAge is the age from which a typical time is ignored. One call is then sent to
// measure it again.
const typicalTimeMaxAge = 2 * time.Second

// current returns the typical time, or 0 if it is unknown or too old.
func (u *typicalTime) current(now time.Duration) time.Duration {
	if u == nil || now-u.at > typicalTimeMaxAge {
		return 0
	}
	return u.duration
}

func newTargets(c Config, mergeLosses func([]quarantine.Loss)) *targets {
	return &targets{
		now:         c.Now,
		ownVM:       c.Settings.VM,
		exportState: c.SharedState.ExportState,
		mergeLosses: mergeLosses,
		zone:        c.Settings.AvailabilityZone,
		states:      make(map[string]*target),
		links:       make(map[string]*zoneLink),
		zones:       make(map[string]*zoneLinks),
		budgets:     make(map[string]*retry.ServiceBudget),
	}
}

// pick selects the endpoint for a call and counts the call. tried holds the
// instances of endpoints that the request was already sent to.
func (t *targets) pick(members []*fleetview.Member, route string, due time.Duration, tried []string) *fleetview.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.candidates = t.candidates[:0]
	for _, m := range members {
		c := placement.Candidate{SameZone: m.AvailabilityZone == t.zone, Slots: m.Slots}
		c.Excluded = m.Leaving || slices.Contains(tried, m.EndpointInstance)
		if s := t.states[m.EndpointInstance]; s != nil {
			c.State, c.EstimatedDuration = &s.load, s.typicalTimes[route].current(t.now())
			c.Excluded = c.Excluded || t.now() < s.leavingUntil || s.hasLeft(m)
			c.Probe = s.load.ProbeDue(t.now(), m.Slots, t.nodes)
		}
		if !c.Excluded && t.isUnresponsive(m) {
			t.state(m.EndpointInstance).load.EjectBriefly(t.now())
		}
		t.candidates = append(t.candidates, c)
	}
	at := placement.Pick(t.now(), due, t.candidates, rand.Uint64())
	if at < 0 {
		return nil
	}
	s := t.state(members[at].EndpointInstance)
	s.load.StartCall()
	if t.candidates[at].Probe {
		s.load.StartProbe(t.now())
	}
	if u := s.typicalTimes[route]; u != nil {
		u.at = t.now()
	}
	return members[at]
}

func (t *targets) state(endpoint string) *target {
	s, ok := t.states[endpoint]
	if !ok {
		s = &target{typicalTimes: make(map[string]*typicalTime)}
		t.states[endpoint] = s
	}
	return s
}

// callOutcome is what a call showed about its endpoint.
type callOutcome struct {
	load        *calllink.Load // nil without a reply
	end         placement.Outcome
	unreachable bool // the endpoint can't be reached
}

// recordOutcome ends a call and updates the state of its endpoint.
func (t *targets) recordOutcome(m *fleetview.Member, route string, o callOutcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(m.EndpointInstance)
	s.load.EndCall(t.now(), o.end)
	if o.unreachable {
		s.load.RecordUnreachable(t.now())
	}
	if o.load == nil {
		return
	}
	if o.load.Leaving {
		s.leavingUntil = t.now() + leavingRetryPause
	}
	if !o.unreachable {
		s.load.RecordLoad(t.now(), o.load.Outstanding, o.load.Limit)
		s.typicalTimes[route] = &typicalTime{duration: time.Duration(o.load.TypicalMs) * time.Millisecond, at: t.now()}
	}
}

// link returns the link to a node and creates it if needed.
func (t *targets) link(m *fleetview.Member) *calllink.Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.links[m.PeerAddress]
	if !ok {
		l = &zoneLink{Link: calllink.New(m.PeerAddress, t.now, t.exportState, t.mergeLosses), zone: m.AvailabilityZone}
		t.links[m.PeerAddress] = l
	}
	return l.Link
}

// retain removes endpoints, links and routes that are not in the view, and returns the
// endpoint instances that are.
func (t *targets) retain(v *fleetview.View) map[string]bool {
	endpoints := make(map[string]bool, len(v.ByVM))
	addresses := make(map[string]bool, len(v.ByVM))
	for _, m := range v.ByVM {
		endpoints[m.EndpointInstance] = true
		addresses[m.PeerAddress] = true
	}
	routes := v.RouteNames()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes = len(v.ByVM)
	for endpoint, s := range t.states {
		maps.DeleteFunc(s.typicalTimes, func(route string, _ *typicalTime) bool { return !routes[route] })
		if !endpoints[endpoint] && s.load.Idle() && (!s.left || t.now()-s.leftAt > leftMemory) {
			delete(t.states, endpoint)
		}
	}
	for address, l := range t.links {
		if !addresses[address] && l.Idle() {
			l.Close()
			delete(t.links, address)
		}
	}
	return endpoints
}

// checkLinks probes silent links and detects unreachable zones.
func (t *targets) checkLinks() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		l.Maintain()
	}
	t.checkZones()
}

func (t *targets) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		l.Close()
	}
}

func (t *targets) budget(service string) *retry.ServiceBudget {
	b, ok := t.budgets[service]
	if !ok {
		b = &retry.ServiceBudget{}
		t.budgets[service] = b
	}
	return b
}

// countCall counts the first attempt of a call to a service.
func (t *targets) countCall(service string, span time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget(service).RecordCall(t.now(), span)
}

// spendRetry takes one retry out of the budget of a service.
func (t *targets) spendRetry(service string, span time.Duration, limit retry.Limit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget(service).Spend(t.now(), span, limit)
}
