// Package proxy routes the requests of a platform's clients through a call graph, from
// the node that receives them to the node of the endpoint that runs them.
// Requests don't name their parent, so priority can't be passed down the call chain.
// Overload is propagated upstream instead: every reply carries the pressure of the
// callee's chain, and new work is refused where it enters the graph.
package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/decision/retry"
	"github.com/galenacart/galenacart/decision/stopping"
	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/endpointlink"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/memory"
	"github.com/galenacart/galenacart/internal/message"
	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/wait"
)

// Config holds the dependencies of a Proxy.
type Config struct {
	// Settings are the node's settings.
	Settings *settings.Mesh
	// RetryBudget returns the fleet's current retry budget.
	RetryBudget func() retry.FleetBudget
	// Headers names the deployment's headers.
	Headers message.Headers
	// View holds the current configuration and endpoints.
	View *fleetview.Holder
	// SharedState is exchanged with nodes that can't read the platform's store.
	SharedState SharedState
	// Log records events.
	Log *event.Log
	// Metrics holds the instruments.
	Metrics *metrics.Set
	// Memory is what calls of other nodes are charged to.
	Memory *memory.Budget
	// Now returns the monotonic time since the process started.
	Now func() time.Duration
}

// SharedState is a node's copy of the deployment's state.
type SharedState interface {
	// NeedsState reports whether this node has no state yet.
	NeedsState() bool
	// ExportState returns the encoded state of this node, or nil.
	ExportState() []byte
	// ImportState applies the encoded state of another node.
	ImportState(state []byte)
}

// Proxy routes and serves the requests of one node.
type Proxy struct {
	config           Config
	requestRouter    *requestRouter
	server           *endpointServer
	acceptor         *calllink.Acceptor
	stop             atomic.Pointer[stopping.Stop] // nil unless the node stops
	stateRequestedAt time.Duration                 // when another node was last asked for its state
}

// New returns a Proxy. Run starts its background work.
func New(c Config) *Proxy {
	p := &Proxy{config: c}
	pool := endpointlink.New(c.Settings.EndpointAddress, c.Headers, responseLimits(c))
	p.requestRouter = newRequestRouter(c, p.stopState)
	p.server = newEndpointServer(c, pool, p.requestRouter, p.stopState)
	p.requestRouter.localHandler = p.server.handle
	p.acceptor = calllink.NewAcceptor(p.server.handle, c.SharedState.ImportState, p.requestRouter.suspectTracker.merge, c.Now, c.Memory)
	p.acceptor.SetCrashExport(p.requestRouter.suspectTracker.export)
	p.registerGauges()
	return p
}

// responseLimits returns the size limits for responses of the local endpoint. Those that are being
// read may use two thirds of what the process may hold.
func responseLimits(c Config) endpointlink.Bounds {
	return endpointlink.Bounds{HeadBytesMax: c.Settings.AnswerHeadBytes, BodyBytesMax: c.Memory.Max() / 3 * 2}
}

// tickInterval is the interval between two checks of links and queues.
const tickInterval = 50 * time.Millisecond

// stateRequestInterval is the interval between two state requests of a node that has no
// state. A reachable store answers a starting node sooner.
const stateRequestInterval = 500 * time.Millisecond

// Run maintains links, queues and admission windows until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	wait.Every(ctx, tickInterval, func() {
		p.requestRouter.tick()
		p.server.tick()
		p.requestState()
	})
}

// requestState asks another node for its state while this node has none. Other nodes
// reconnect within moments of its start.
func (p *Proxy) requestState() {
	now := p.config.Now()
	if now-p.stateRequestedAt < stateRequestInterval || !p.config.SharedState.NeedsState() {
		return
	}
	if p.acceptor.RequestState() {
		p.stateRequestedAt = now
	}
}

// Serve handles a request of a client or of the local endpoint. ctx ends when the sender
// disconnects.
func (p *Proxy) Serve(ctx context.Context, r *message.Request) *message.Response {
	return p.requestRouter.handle(ctx, r)
}

// RequestID returns the ID of a request of a client or of the local endpoint.
func (p *Proxy) RequestID(r *message.Request) string {
	return r.Header.Get(p.config.Headers.RequestID)
}

// Interrupted returns the response to the request with an ID that Serve has not answered when the node
// ends.
func (p *Proxy) Interrupted(id string) *message.Response {
	return p.requestRouter.interrupted(id)
}

// NotRead returns the response to a request that was not read whole when the node ends.
func (p *Proxy) NotRead() *message.Response {
	return p.requestRouter.notRead()
}

// NoMemory returns the response to a request that was not read whole for lack of memory.
func (p *Proxy) NoMemory() *message.Response {
	return p.requestRouter.noMemory()
}

// PeerHandler accepts the links of other nodes.
func (p *Proxy) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(calllink.Path, p.acceptor)
	return mux
}

// SetStop sets the state of a planned stop.
func (p *Proxy) SetStop(s stopping.Stop) {
	p.stop.Store(&s)
	if s.Phase >= stopping.Withdrawing {
		p.requestRouter.withdraw()
	}
}

func (p *Proxy) stopState() stopping.Stop {
	if s := p.stop.Load(); s != nil {
		return *s
	}
	return stopping.Stop{}
}

// InFlight returns the number of calls that run or wait at the local endpoint.
func (p *Proxy) InFlight() int {
	return p.server.inFlight()
}

// Close closes links and connections.
func (p *Proxy) Close() {
	p.acceptor.Close()
	p.requestRouter.close()
	p.server.close()
}

// State is the load of the local endpoint as the status pages show it.
type State struct {
	// Running counts the calls that run at the local endpoint.
	Running int `json:"running"`
	// Queued counts the calls that wait for a slot.
	Queued int `json:"queued"`
	// Limit is the number of calls that may run at once.
	Limit int `json:"limit"`
	// Pressure is the share of Limit that running and queued calls take.
	Pressure float64 `json:"pressure"`
}

// State returns the load of the local endpoint.
func (p *Proxy) State() State {
	return p.server.state()
}

func (p *Proxy) registerGauges() {
	set := p.config.Metrics
	set.RegisterGauge(metrics.NameInFlight, func() int64 { return int64(p.State().Running) })
	set.RegisterGauge(metrics.NameQueued, func() int64 { return int64(p.State().Queued) })
	set.RegisterGauge(metrics.NameRevision, func() int64 { return int64(p.config.View.Load().Revision) })
}
