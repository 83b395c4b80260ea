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

// targets knows the endpoints that this node sends calls to.
type targets struct {
	now   func() time.Duration
	own   string        // VM
	tell  func() []byte // what this node knows of the deployment
	learn func([]quarantine.Loss)
	zone  string

	mu         sync.Mutex
	states     map[string]*target // by the endpoint's run
	links      map[string]*way    // by the node's address
	zones      map[string]*zoneWays
	candidates []placement.Candidate
	budgets    map[string]*retry.ServiceBudget
}

// leaverPause is the time after which an endpoint that said it leaves is asked
// again: its node may have been replaced beside it.
const leaverPause = time.Second

// target is what is known of one endpoint.
type target struct {
	load         placement.State
	usual        map[string]*usualTime // of a call, by route
	leavingUntil time.Duration
}

// usualTime is the time that calls of a route usually take at an endpoint.
type usualTime struct {
	told time.Duration
	at   time.Duration // when it was told, or tried again since
}

// usualFor is the age from which on a usual time is doubted: one call finds out
// whether it still holds.
const usualFor = 2 * time.Second

// known returns the usual time as far as it is still known.
func (u *usualTime) known(now time.Duration) time.Duration {
	if u == nil || now-u.at > usualFor {
		return 0
	}
	return u.told
}

func newTargets(c Config, learn func([]quarantine.Loss)) *targets {
	return &targets{
		now:     c.Now,
		own:     c.Settings.VM,
		tell:    c.SharedState.ExportState,
		learn:   learn,
		zone:    c.Settings.AvailabilityZone,
		states:  make(map[string]*target),
		links:   make(map[string]*way),
		zones:   make(map[string]*zoneWays),
		budgets: make(map[string]*retry.ServiceBudget),
	}
}

// pick chooses the endpoint for a call and counts the call. tried holds the runs
// of endpoints that had it before.
func (t *targets) pick(members []*fleetview.Member, route string, due time.Duration, tried []string) *fleetview.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.candidates = t.candidates[:0]
	for _, m := range members {
		c := placement.Candidate{SameZone: m.AvailabilityZone == t.zone, Slots: m.Slots}
		c.Excluded = m.Leaving || slices.Contains(tried, m.EndpointInstance)
		if s := t.states[m.EndpointInstance]; s != nil {
			c.State, c.EstimatedDuration = &s.load, s.usual[route].known(t.now())
			c.Excluded = c.Excluded || t.now() < s.leavingUntil
		}
		if !c.Excluded && t.doubtful(m) {
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
	if u := s.usual[route]; u != nil {
		u.at = t.now()
	}
	return members[at]
}

func (t *targets) state(endpoint string) *target {
	s, ok := t.states[endpoint]
	if !ok {
		s = &target{usual: make(map[string]*usualTime)}
		t.states[endpoint] = s
	}
	return s
}

// outcome is what a call told of its endpoint.
type outcome struct {
	load        *calllink.Load // nil without a reply
	end         placement.Outcome
	unreachable bool // no call gets there
}

// done takes a call back and learns from its end.
func (t *targets) done(m *fleetview.Member, route string, o outcome) {
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
		s.leavingUntil = t.now() + leaverPause
	}
	if !o.unreachable {
		s.load.RecordLoad(o.load.Outstanding, o.load.Limit)
		s.usual[route] = &usualTime{told: time.Duration(o.load.TypicalMs) * time.Millisecond, at: t.now()}
	}
}

// link returns the way to a node.
func (t *targets) link(m *fleetview.Member) *calllink.Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.links[m.PeerAddress]
	if !ok {
		l = &way{Link: calllink.New(m.PeerAddress, t.now, t.tell, t.learn), zone: m.AvailabilityZone}
		t.links[m.PeerAddress] = l
	}
	return l.Link
}

// retain forgets endpoints, links and routes that left the view, and returns the
// endpoints that are there.
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
	for endpoint, s := range t.states {
		maps.DeleteFunc(s.usual, func(route string, _ *usualTime) bool { return !routes[route] })
		if !endpoints[endpoint] && s.load.Idle() {
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

// watch probes silent links and looks which zones are cut off.
func (t *targets) watch() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		l.Maintain()
	}
	t.watchZones()
}

func (t *targets) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		l.Close()
	}
}

func (t *targets) budget(service string) *retry.ServiceBudget {
	w, ok := t.budgets[service]
	if !ok {
		w = &retry.ServiceBudget{}
		t.budgets[service] = w
	}
	return w
}

// first counts the first attempt of a call to a service.
func (t *targets) first(service string, span time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget(service).RecordCall(t.now(), span)
}

// mayRepeat takes one repeat out of the budget of a service.
func (t *targets) mayRepeat(service string, span time.Duration, ratio, allowance float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget(service).Spend(t.now(), span, ratio, allowance)
}
