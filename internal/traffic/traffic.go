// Package traffic forwards calls: from callers and from the local endpoint to
// the node of an endpoint that serves them, and from other nodes to the local
// endpoint.
//
// It reads an immutable fleet view with one atomic load and reports
// observations to the control thread through a queue that never blocks a call.
// Every decision is made by a pure package under decision.
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
	// tickInterval is the interval at which queued calls are checked.
	tickInterval = 10 * time.Millisecond
	// idleInterval replaces tickInterval while no call is queued.
	idleInterval = 100 * time.Millisecond
)

// Config holds the dependencies of Traffic.
type Config struct {
	// Settings are the node's settings.
	Settings *settings.Node
	// Incarnation identifies this process. It is never 0, and larger than that of
	// every earlier process of the VM.
	Incarnation uint64
	// View holds the fleet view that the control thread maintains.
	View *fleetview.Holder
	// Reports queues observations for the control thread.
	Reports *fleetview.Reports
	// Log records events.
	Log *event.Log
	// Metrics holds the metric instruments.
	Metrics *metrics.Set
	// Refusals holds recent refusals for status pages.
	Refusals *status.Refusals
	// Now returns the monotonic time since the process started.
	Now func() time.Duration
	// Dial opens connections to other nodes and to the local endpoint. Optional;
	// the default opens TCP connections.
	Dial DialFunc
}

// Traffic forwards and serves the calls of one node.
type Traffic struct {
	config           Config
	admissionControl *admissionController
	local            *endpoint
	peers            *peers
	targets          *targets
	parents          *parents
	answerMemory     *memoryBudget // shared by the two tables below
	requests         *recordTable
	attempts         *recordTable
	suspects         *suspects
	calleeTable      *calleeTable
	tokens           *token.Codec
	stallMonitor     *stallMonitor
	grants           *grants
	probes           sync.WaitGroup
	leaving          atomic.Bool
	appliedView      atomic.Pointer[fleetview.View]
	keyHomes         keyHomes
	applyMu          sync.Mutex
}

// New returns the Traffic of a node.
func New(c Config) *Traffic {
	peerDial := c.Dial
	if c.Dial == nil {
		c.Dial = dialTCP
		peerDial = c.Settings.Dialer(dialTimeout).DialContext
	}
	budget := newMemoryBudget(initialAnswerMemoryBytes)
	t := &Traffic{
		answerMemory:     budget,
		config:           c,
		admissionControl: newAdmissionController(c.Now),
		local:            newEndpoint(c.Settings, c.Dial),
		peers:            newPeers(c.Settings, peerDial),
		targets:          newTargets(c.Now),
		parents:          newParents(),
		requests:         newRecordTable(c.Now, budget),
		attempts:         newRecordTable(c.Now, budget),
		suspects:         newSuspects(c.Now),
		calleeTable:      newCalleeTable(),
		stallMonitor:     newStallMonitor(c.Now),
		grants:           newGrants(c.Now),
		tokens:           token.NewCodec(c.Settings.FleetKey),
	}
	t.registerGauges()
	return t
}

// Run expires queued calls and sends probes until ctx ends.
func (t *Traffic) Run(ctx context.Context) {
	defer t.probes.Wait()
	for {
		t.view()
		t.admissionControl.tick()
		t.startDueProbes(ctx)
		if !t.waitForTick(ctx) {
			return
		}
	}
}

// waitForTick waits for the next check of queued calls: tickInterval while calls
// are queued, else idleInterval or until a call is queued. It returns false when
// ctx has ended.
func (t *Traffic) waitForTick(ctx context.Context) bool {
	interval := idleInterval
	if t.admissionControl.state().Queued > 0 {
		interval = tickInterval
	}
	next, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	select {
	case <-t.admissionControl.queued:
	case <-next.Done():
	}
	return ctx.Err() == nil
}

// view returns the newest view after applying its limits.
func (t *Traffic) view() *fleetview.View {
	v := t.config.View.Load()
	if t.appliedView.Load() == v {
		return v
	}
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	if t.appliedView.Load() != v {
		t.apply(v)
		t.appliedView.Store(v)
	}
	return v
}

// apply puts the limits of a new view into force.
func (t *Traffic) apply(v *fleetview.View) {
	t.targets.retain(v)
	t.peers.retain(v)
	t.suspects.setReported(v.Suspects)
	if v.Index == nil {
		return
	}
	c := v.Index.Catalogue()
	t.keyHomes.update(t.config.Now(), c.KeyHomes)
	t.answerMemory.max.Store(c.Idempotency.AnswersTotalLimit())
	t.requests.configure(c.Idempotency.RecordsMax, c.Idempotency.TokenLifetime(), c.Idempotency.AnswerBytesMax)
	t.attempts.configure(c.Idempotency.RecordsMax, attemptLifetime, c.Idempotency.AnswerBytesMax)
	if s := v.Index.Service(t.config.Settings.Service); s != nil {
		t.admissionControl.setLimits(min(s.Limits.Slots, s.Limits.Connections), s.Limits.Queue)
	}
}

// Leave begins a planned stop. The node accepts no new work afterwards.
func (t *Traffic) Leave() {
	t.leaving.Store(true)
}

// Leaving reports whether the node accepts no new work: it is stopping, the
// platform lists it as leaving, or its endpoint reports that it is draining.
func (t *Traffic) Leaving() bool {
	return t.leaving.Load() || t.stallMonitor.isDraining() || t.config.View.Load().Leaving
}

// Close closes idle connections.
func (t *Traffic) Close() {
	t.local.close()
	t.peers.close()
}

// AdmissionState returns the state of admission for status pages.
func (t *Traffic) AdmissionState() any {
	return t.admissionControl.state()
}

// RecordsState returns the state of the record tables for status pages.
func (t *Traffic) RecordsState() any {
	return RecordsState{Requests: t.requests.state(), Attempts: t.attempts.state()}
}

// RecordsState is the state of the record tables of non-idempotent calls.
type RecordsState struct {
	// Requests describes the records of requests of which this node is the home.
	Requests RecordTableState `json:"requests"`
	// Attempts describes the records of attempts whose outcome other nodes can
	// query.
	Attempts RecordTableState `json:"attempts"`
}

func (t *Traffic) registerGauges() {
	m := t.config.Metrics
	m.RegisterGauge(metrics.NameInFlight, func() int64 { return int64(t.admissionControl.state().Running) })
	m.RegisterGauge(metrics.NameQueued, func() int64 { return int64(t.admissionControl.state().Queued) })
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

// putUint64 writes value to buffer in little-endian order.
func putUint64(buffer []byte, value uint64) {
	for i := range buffer {
		buffer[i] = byte(value >> (8 * i))
	}
}

// CallerHandler returns the handler for requests of callers.
func (t *Traffic) CallerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathToken, t.serveToken)
	mux.HandleFunc("POST "+PathFence, t.serveFence)
	mux.HandleFunc("/", t.serveCaller)
	return mux
}

// PeerHandler returns the handler for calls and queries of other nodes.
func (t *Traffic) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathPing, t.servePing)
	mux.HandleFunc("GET "+pathGrant, t.serveGrant)
	mux.HandleFunc("GET "+pathLosses, t.serveLosses)
	mux.HandleFunc("/", t.servePeer)
	return mux
}

// OutboundHandler returns the handler for calls made by the local endpoint.
func (t *Traffic) OutboundHandler() http.Handler {
	return http.HandlerFunc(t.serveOutbound)
}
