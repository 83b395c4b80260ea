// Package proxynode assembles and runs a proxy node for a platform's clients: its
// listeners, its request routing, its configuration source and its planned stop.
package proxynode

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacart/galenacart/decision/readers"
	"github.com/galenacart/galenacart/decision/retry"
	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/discovery"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/ingress"
	"github.com/galenacart/galenacart/internal/memory"
	"github.com/galenacart/galenacart/internal/message"
	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/proxy"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/status"
	"github.com/galenacart/galenacart/internal/updatefeed"
	"github.com/galenacart/galenacart/internal/wait"
)

const (
	// recentEventsMax bounds the recent events on the status page.
	recentEventsMax = 500
	// eventsPerSecondMax bounds the log lines per second for each event number.
	eventsPerSecondMax = 50
	// headerTimeout bounds the time for the header of a request to an internal listener.
	headerTimeout = 5 * time.Second
)

// Limits of clients' requests until the first configuration is loaded, in the range that
// is usual for HTTP servers.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// Config holds the dependencies of a Node.
type Config struct {
	// Settings are the node's settings.
	Settings *settings.Reloadable
	// Headers names the deployment's headers.
	Headers message.Headers
	// Source provides the configuration and the endpoints.
	Source discovery.Source
	// ReadinessPath is the path of the platform's readiness check.
	ReadinessPath string
	// Version is the version of the program.
	Version string
	// EventOutput receives the event lines.
	EventOutput io.Writer
}

// Node is one proxy node.
type Node struct {
	config          Config
	now             func() time.Duration
	log             *event.Log
	eventWriter     io.Closer
	holder          *fleetview.Holder
	directory       *discovery.Directory
	feed            *updatefeed.Feed
	memory          *memory.Budget // of what is held for clients, endpoints and other nodes
	requestProxy    *proxy.Proxy
	clientServer    *ingress.Server
	clientListener  net.Listener
	internalServers []*internalServer
	shuttingDown    atomic.Bool
	reloadSignals   chan os.Signal
}

// internalServer is a listener for peers or operators, with its HTTP server.
type internalServer struct {
	setting  string
	listener net.Listener
	server   *http.Server
}

// Start opens the listeners of a node. Run serves them.
func Start(c Config) (*Node, error) {
	started := time.Now()
	n := &Node{config: c, holder: &fleetview.Holder{}, reloadSignals: make(chan os.Signal, 1), now: func() time.Duration { return time.Since(started) }}
	s := c.Settings.Load()
	peer, err := netip.ParseAddrPort(s.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "peerAddress")
	}
	ring := event.NewRing(recentEventsMax)
	// A blocked reader of the output must not block requests.
	eventWriter := event.NewAsyncWriter(event.KeepOpen(c.EventOutput), func(count int) { n.log.RecordLostLines(count) })
	n.eventWriter = eventWriter
	n.log = event.NewLog(io.MultiWriter(eventWriter, ring), "node", s.VM, s.Level()).LimitRate(eventsPerSecondMax)
	instruments := metrics.NewSet()
	n.memory = memory.NewBudget(s.MemoryBytes())
	n.directory = discovery.NewDirectory(n.holder, n.log, n.now, peer.Port())
	n.directory.SetEndpointHeartbeat(s.EndpointHeartbeatDuration())
	n.feed = updatefeed.New(updatefeed.Config{
		Directory: n.directory, Source: c.Source, View: n.holder, AvailabilityZone: s.AvailabilityZone,
		EndpointAddress: s.EndpointAddress, Log: n.log, Times: readers.NewUpdateTimes(s.UpdateBoundDuration()),
	})
	n.requestProxy = proxy.New(proxy.Config{
		Settings: s, RetryBudget: n.retryBudget, Headers: c.Headers, View: n.holder, SharedState: n.directory,
		Log: n.log, Metrics: instruments, Now: n.now, Memory: n.memory,
	})
	n.clientServer = ingress.New(ingress.Config{
		Limits: n.clientLimits, Handler: n.requestProxy.Serve, RequestID: n.requestProxy.RequestID,
		Interrupted: n.requestProxy.Interrupted, NotRead: n.requestProxy.NotRead,
		NoMemory: n.requestProxy.NoMemory, Memory: n.memory, ConnectionsMax: connectionsMax(s, n.memory),
	})
	n.memory.SetEvict(n.clientServer.EvictStalled)
	if err := n.listen(n.statusHandler(ring, instruments)); err != nil {
		n.abort()
		return nil, err
	}
	signal.Notify(n.reloadSignals, syscall.SIGHUP) // by default the signal would end the process
	n.log.Emit(event.NodeStarted, "", event.F("client_address", s.ClientAddress))
	return n, nil
}

func (n *Node) statusHandler(ring *event.Ring, instruments *metrics.Set) http.Handler {
	s := n.config.Settings.Load()
	return status.New(status.Config{
		Identity: status.Node{
			VM: s.VM, AvailabilityZone: s.AvailabilityZone, Region: s.Region,
			Service: s.Service, Version: n.config.Version,
		},
		View:      n.holder,
		Admission: func() any { return n.requestProxy.State() },
		Events:    ring,
		Metrics:   instruments.Registry(),
	}).Handler()
}

// listen opens every listener, so that an address in use is detected at start.
func (n *Node) listen(statusPages http.Handler) error {
	s := n.config.Settings.Load()
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET "+n.config.ReadinessPath, n.serveReadiness)
	for _, one := range []struct {
		setting, address string
		handler          http.Handler
	}{
		{"peerAddress", s.PeerAddress, n.peerHandler()},
		{"readinessAddress", s.ReadinessAddress, readiness},
		{"statusAddress", s.StatusAddress, statusPages},
	} {
		l, err := listenOn(one.setting, one.address)
		if err != nil {
			return err
		}
		n.internalServers = append(n.internalServers, &internalServer{
			setting: one.setting, listener: l,
			server: &http.Server{Handler: one.handler, ReadHeaderTimeout: headerTimeout},
		})
	}
	l, err := listenOn("clientAddress", s.ClientAddress)
	n.clientListener = l
	return err
}

// peerHandler accepts the links and subscriptions of other nodes.
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(calllink.Path, n.requestProxy.PeerHandler())
	mux.Handle(updatefeed.Path, n.feed)
	return mux
}

func listenOn(setting, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Wrapf(err, "%s %s: choose another address or end the process that uses it", setting, address)
}

// abort closes what a failed start has opened. Start reports its own error, so errors of
// the cleanup are ignored.
func (n *Node) abort() {
	for _, one := range n.internalServers {
		_ = one.listener.Close()
	}
	_ = n.eventWriter.Close()
}

// clientLimits returns the current limits of clients' requests.
func (n *Node) clientLimits() ingress.Limits {
	b := n.holder.Load().ClientLimits
	l := ingress.Limits{
		HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes,
		HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}
	if b.HeaderBytes > 0 {
		l.HeaderBytes = b.HeaderBytes
	}
	if b.BodyBytes > 0 {
		l.BodyBytes = b.BodyBytes
	}
	if b.HeaderTimeout > 0 {
		l.HeaderTimeout = b.HeaderTimeout
	}
	if b.IdleTimeout > 0 {
		l.IdleTimeout = b.IdleTimeout
	}
	return l
}

// clientDescriptorsDivisor is the divisor of the descriptors that gives those for connections of
// clients. The others are for links, the endpoint, the platform's store and files.
const clientDescriptorsDivisor = 2

// connectionsMax returns the number of connections that clients may open.
func connectionsMax(s *settings.Mesh, budget *memory.Budget) int {
	return min(budget.ConnectionsMax(), s.DescriptorsMax()/clientDescriptorsDivisor)
}

// retryBudget returns the fleet's current retry budget.
func (n *Node) retryBudget() retry.FleetBudget {
	s := n.config.Settings.Load()
	return retry.FleetBudget{Ratio: s.RetryRatio, Allowance: s.RetryAllowance, Window: s.RetryWindowDuration()}
}

// serveReadiness reports whether clients may send requests to this node.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if n.shuttingDown.Load() || n.holder.Load().Index == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Run serves until ctx ends, then performs the planned stop.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group errgroup.Group
	for _, work := range []func(context.Context){
		n.requestProxy.Run, n.directory.Run, n.reloadSettings, n.reportDroppedEvents,
		n.feed.Run,
	} {
		group.Go(func() error {
			n.runTask(background, work)
			return nil
		})
	}
	group.Go(func() error { return errors.Wrap(n.clientServer.Serve(n.clientListener), "serve clientAddress") })
	for _, one := range n.internalServers {
		group.Go(func() error {
			err := one.server.Serve(one.listener)
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return errors.Wrapf(err, "serve %s", one.setting)
		})
	}
	<-ctx.Done()
	clean := n.shutDown(background)
	cancel()
	err := group.Wait()
	n.log.ReportDroppedLines()
	n.log.Emit(event.NodeStopped, "", event.F("clean", clean))
	if closeErr := n.closeEvents(); err == nil {
		err = closeErr
	}
	return err
}

// restartPause is the pause before a failed background task is restarted. It is shorter
// than the time after which other nodes take over its work.
const restartPause = time.Second

// runTask runs a background task until ctx ends and restarts it after a panic.
func (n *Node) runTask(ctx context.Context, work func(context.Context)) {
	for ctx.Err() == nil {
		func() {
			defer n.log.Recover("", func() { wait.For(ctx, restartPause) })
			work(ctx)
		}()
	}
}

// closeEventsTimeout bounds the writing of the last events. It is short compared with the
// stop time that remains when nothing is in flight.
const closeEventsTimeout = 200 * time.Millisecond

// closeEvents writes the queued events, unless the reader of the output is blocked.
func (n *Node) closeEvents() error {
	closed := make(chan error, 1)
	go func() { closed <- n.eventWriter.Close() }()
	select {
	case err := <-closed:
		return errors.Wrap(err, "write events")
	case <-time.After(closeEventsTimeout):
		return errors.New("event output is blocked: the last events are lost")
	}
}

// droppedEventsInterval is the interval between two reports of dropped event lines.
const droppedEventsInterval = time.Second

// reportDroppedEvents logs the number of dropped event lines until ctx ends.
func (n *Node) reportDroppedEvents(ctx context.Context) {
	wait.Every(ctx, droppedEventsInterval, n.log.ReportDroppedLines)
}
