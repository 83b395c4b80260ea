// Package traffic carries calls: from callers and from the local endpoint to
// the node of an endpoint that serves them, and from other nodes to the local
// endpoint.
//
// Traffic reads an immutable view with one atomic load and hands observations
// to the control thread by a queue that never blocks a call. Every choice it
// makes comes from a pure package under decision.
package traffic

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/status"
	"github.com/galenacart/galenacart/internal/token"
)

const (
	// tickInterval is the time between two looks at queued calls.
	tickInterval = 10 * time.Millisecond
	// idleInterval is the same while no call is queued.
	idleInterval = 100 * time.Millisecond
)

// Config is what traffic needs from the node around it.
type Config struct {
	// Settings are the node's settings.
	Settings *settings.Node
	// Incarnation identifies the run of this process. It is never 0, and larger
	// than that of every earlier process of the VM.
	Incarnation uint64
	// View holds what the control thread knows.
	View *fleetview.Holder
	// Reports takes observations to the control thread.
	Reports *fleetview.Reports
	// Log takes events.
	Log *event.Log
	// Metrics holds the instruments.
	Metrics *metrics.Set
	// Refusals holds recent refusals for status pages.
	Refusals *status.Refusals
	// Now returns the time since the process started. It never goes back.
	Now func() time.Duration
	// Dial opens connections to other nodes and to the local endpoint. Optional;
	// the default opens TCP connections.
	Dial DialFunc
}

// Traffic carries the calls of one node.
type Traffic struct {
	config   Config
	gate     *gatekeeper
	local    *endpoint
	peers    *peers
	targets  *targets
	parents  *parents
	answers  *room // of the kept answers of both tables below
	requests *records
	attempts *records
	suspects *suspects
	chain    *chain
	tokens   *token.Codec
	watch    *watch
	grants   *grants
	probes   sync.WaitGroup
	leaving  atomic.Bool
	applied  atomic.Pointer[fleetview.View]
	keyHomes keyHomes
	applying sync.Mutex
}

// New returns the traffic side of a node.
func New(c Config) *Traffic {
	peerDial := c.Dial
	if c.Dial == nil {
		c.Dial = dialTCP
		peerDial = c.Settings.Dialer(dialTimeout).DialContext
	}
	shared := newRoom(roomBefore)
	t := &Traffic{
		answers:  shared,
		config:   c,
		gate:     newGatekeeper(c.Now),
		local:    newEndpoint(c.Settings, c.Dial),
		peers:    newPeers(c.Settings, peerDial),
		targets:  newTargets(c.Now),
		parents:  newParents(),
		requests: newRecords(c.Now, shared),
		attempts: newRecords(c.Now, shared),
		suspects: newSuspects(c.Now),
		chain:    newChain(),
		watch:    newWatch(c.Now),
		grants:   newGrants(c.Now),
		tokens:   token.NewCodec(c.Settings.FleetKey),
	}
	t.registerGauges()
	return t
}

// Run looks after queued calls and sends probes until ctx ends.
func (t *Traffic) Run(ctx context.Context) {
	defer t.probes.Wait()
	for {
		t.view()
		t.gate.tick()
		t.look(ctx)
		if !t.pause(ctx) {
			return
		}
	}
}

// pause waits until the next look at queued calls: shortly while calls wait,
// longer while none does. It returns false when ctx has ended.
func (t *Traffic) pause(ctx context.Context) bool {
	interval := idleInterval
	if t.gate.state().Queued > 0 {
		interval = tickInterval
	}
	next, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	select {
	case <-t.gate.queued:
	case <-next.Done():
	}
	return ctx.Err() == nil
}

// view returns the newest view, whose limits are in force when it returns.
func (t *Traffic) view() *fleetview.View {
	v := t.config.View.Load()
	if t.applied.Load() == v {
		return v
	}
	t.applying.Lock()
	defer t.applying.Unlock()
	if t.applied.Load() != v {
		t.apply(v)
		t.applied.Store(v)
	}
	return v
}

// apply takes the limits of a new view into force.
func (t *Traffic) apply(v *fleetview.View) {
	t.targets.retain(v)
	t.peers.retain(v)
	t.suspects.learn(v.Suspects)
	if v.Index == nil {
		return
	}
	c := v.Index.Catalogue()
	t.keyHomes.follow(t.config.Now(), c.KeyHomes)
	t.answers.max.Store(c.Idempotency.AnswersTotalLimit())
	t.requests.setBounds(c.Idempotency.RecordsMax, c.Idempotency.TokenLifetime(), c.Idempotency.AnswerBytesMax)
	t.attempts.setBounds(c.Idempotency.RecordsMax, attemptLifetime, c.Idempotency.AnswerBytesMax)
	if s := v.Index.Service(t.config.Settings.Service); s != nil {
		t.gate.setLimits(min(s.Limits.Slots, s.Limits.Connections), s.Limits.Queue)
	}
}

// Leave begins the planned stop: the node takes no new work from now on.
func (t *Traffic) Leave() {
	t.leaving.Store(true)
}

// Leaving reports whether the node takes no new work: it is stopping itself, the
// platform lists it as leaving, or its endpoint says that it drains.
func (t *Traffic) Leaving() bool {
	return t.leaving.Load() || t.watch.isDraining() || t.config.View.Load().Leaving
}

// Close drops idle connections.
func (t *Traffic) Close() {
	t.local.close()
	t.peers.close()
}

// AdmissionState returns the state of admission for status pages.
func (t *Traffic) AdmissionState() any {
	return t.gate.state()
}

// RecordsState returns the state of the records for status pages.
func (t *Traffic) RecordsState() any {
	return RecordsState{Requests: t.requests.state(), Attempts: t.attempts.state()}
}

// RecordsState is the state of the records of non-idempotent calls.
type RecordsState struct {
	// Requests counts the requests of which this node is the home.
	Requests RecordTableState `json:"requests"`
	// Attempts counts the attempts that other nodes may ask about.
	Attempts RecordTableState `json:"attempts"`
}

func (t *Traffic) registerGauges() {
	m := t.config.Metrics
	m.RegisterGauge(metrics.NameInFlight, func() int64 { return int64(t.gate.state().Running) })
	m.RegisterGauge(metrics.NameQueued, func() int64 { return int64(t.gate.state().Queued) })
	m.RegisterGauge(metrics.NameRecords, func() int64 {
		return int64(t.requests.state().Records + t.attempts.state().Records)
	})
	m.RegisterGauge(metrics.NameRecordBytes, func() int64 {
		return t.requests.state().AnswerBytes + t.attempts.state().AnswerBytes
	})
	m.RegisterGauge(metrics.NameRevision, func() int64 { return int64(t.config.View.Load().Revision) })
}

// newID returns a random ID.
func newID() call.ID {
	var id call.ID
	putUint64(id[:8], rand.Uint64())
	putUint64(id[8:], rand.Uint64())
	return id
}

func putUint64(into []byte, value uint64) {
	for i := range into {
		into[i] = byte(value >> (8 * i))
	}
}

// CallerHandler serves callers.
func (t *Traffic) CallerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathToken, t.serveToken)
	mux.HandleFunc("POST "+PathFence, t.serveFence)
	mux.HandleFunc("/", t.serveCaller)
	return mux
}

// PeerHandler serves calls from other nodes.
func (t *Traffic) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathPing, t.servePing)
	mux.HandleFunc("GET "+pathGrant, t.serveGrant)
	mux.HandleFunc("GET "+pathLosses, t.serveLosses)
	mux.HandleFunc("/", t.servePeer)
	return mux
}

// OutboundHandler serves the local endpoint's own calls.
func (t *Traffic) OutboundHandler() http.Handler {
	return http.HandlerFunc(t.serveOutbound)
}
