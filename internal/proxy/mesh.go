// Package proxy carries the requests of a platform's clients through a call graph:
// from the node where they begin to the node beside the endpoint that runs them.
// Requests name no parent, so overload travels back instead of importance forth:
// with every reply a node tells the pressure of its chain, and work is refused
// where it begins.
package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/decision/stopping"
	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/endpointlink"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/message"
	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/wait"
)

// Config is what a Mesh needs from the node around it.
type Config struct {
	// Settings are the node's settings.
	Settings *settings.Mesh
	// RetryBudget returns the fleet's budget for repeats.
	RetryBudget func() RetryBudget
	// Headers names the deployment's headers.
	Headers message.Headers
	// View holds the configuration and the endpoints in force.
	View *fleetview.Holder
	// SharedState is shared with nodes that can't read it themselves.
	SharedState SharedState
	// Log takes events.
	Log *event.Log
	// Metrics holds the instruments.
	Metrics *metrics.Set
	// Now returns the time since the process started. It never goes back.
	Now func() time.Duration
}

// SharedState is what nodes know of their deployment.
type SharedState interface {
	// NeedsState reports whether this node knows nothing yet.
	NeedsState() bool
	// ExportState returns what this node knows, or nil.
	ExportState() []byte
	// ImportState takes in what another node shared.
	ImportState(state []byte)
}

// RetryBudget bounds the repeated requests of the whole fleet towards one service.
type RetryBudget struct {
	// Ratio is the share of the requests for the service.
	Ratio float64
	// Allowance is a number of repeats beside that share.
	Allowance float64
	// Window is the time over which they are counted.
	Window time.Duration
}

// Proxy carries the requests of one node.
type Proxy struct {
	config   Config
	entrance *entrance
	server   *endpointServer
	acceptor *calllink.Acceptor
	phase    atomic.Uint32 // of the planned stop
	asked    time.Duration // when another node was asked for its state
}

// New returns the traffic side of a node.
func New(c Config) *Proxy {
	m := &Proxy{config: c}
	pool := endpointlink.New(c.Settings.EndpointAddress, c.Headers, bounds(c.Settings))
	m.entrance = newEntrance(c, m.stopped)
	m.server = newEndpointServer(c, pool, m.entrance, m.stopped)
	m.entrance.local = m.server.handle
	m.acceptor = calllink.NewAcceptor(m.server.handle, c.SharedState.ImportState, m.entrance.suspects.learn, c.Now)
	m.registerGauges()
	return m
}

// bodyShare is the part of the process's memory, one in bodyShare, that bodies of answers
// may take while they are read. As much again holds those that are passed on.
const bodyShare = 4

// bounds returns what answers of the local endpoint may take.
func bounds(s *settings.Mesh) endpointlink.Bounds {
	return endpointlink.Bounds{HeadBytesMax: s.AnswerHeadBytes, BodyBytesMax: s.MemoryMB << 20 / bodyShare}
}

// watchInterval is the time between two looks at links and queues.
const watchInterval = 50 * time.Millisecond

// askPause is the time between two questions of a node that knows nothing. A store
// that is there answers a start sooner.
const askPause = 500 * time.Millisecond

// Run looks after links and learns from counts until ctx ends.
func (m *Proxy) Run(ctx context.Context) {
	wait.Every(ctx, watchInterval, func() {
		m.entrance.tick()
		m.server.tick()
		m.askState()
	})
}

// askState asks another node for what it knows while this one knows nothing. Other
// nodes open their links again within moments of its start.
func (m *Proxy) askState() {
	now := m.config.Now()
	if now-m.asked < askPause || !m.config.SharedState.NeedsState() {
		return
	}
	if m.acceptor.RequestState() {
		m.asked = now
	}
}

// Serve answers a request of a client or of the local endpoint. ctx ends when
// its sender has gone.
func (m *Proxy) Serve(ctx context.Context, r *message.Request) *message.Response {
	return m.entrance.serve(ctx, r)
}

// PeerHandler takes the links of other nodes.
func (m *Proxy) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(calllink.Path, m.acceptor)
	return mux
}

// SetStopPhase takes a planned stop to a phase.
func (m *Proxy) SetStopPhase(phase stopping.Phase) {
	m.phase.Store(uint32(phase))
}

func (m *Proxy) stopped() stopping.Phase {
	return stopping.Phase(m.phase.Load())
}

// InFlight returns the number of calls at the local endpoint.
func (m *Proxy) InFlight() int {
	return m.server.busy()
}

// Close ends links and connections.
func (m *Proxy) Close() {
	m.acceptor.Close()
	m.entrance.close()
	m.server.close()
}

// State is the state of traffic for status pages.
type State struct {
	// Running counts calls at the local endpoint.
	Running int `json:"running"`
	// Queued counts calls that wait for a slot.
	Queued int `json:"queued"`
	// Limit is the number of calls that may run at once.
	Limit int `json:"limit"`
	// Pressure is the share of the limit that calls take or wait for.
	Pressure float64 `json:"pressure"`
}

// State returns the state of traffic.
func (m *Proxy) State() State {
	return m.server.state()
}

func (m *Proxy) registerGauges() {
	set := m.config.Metrics
	set.RegisterGauge(metrics.NameInFlight, func() int64 { return int64(m.State().Running) })
	set.RegisterGauge(metrics.NameQueued, func() int64 { return int64(m.State().Queued) })
	set.RegisterGauge(metrics.NameRevision, func() int64 { return int64(m.config.View.Load().Revision) })
}
