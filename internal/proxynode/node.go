// Package proxynode puts together a node for a platform's clients: its listeners,
// its traffic, its source of configuration and its planned stop.
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

	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/discovery"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/ingress"
	"github.com/galenacart/galenacart/internal/message"
	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/proxy"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/status"
	"github.com/galenacart/galenacart/internal/updatefeed"
	"github.com/galenacart/galenacart/internal/wait"
)

const (
	// eventLines bounds the recent events that a node shows.
	eventLines = 500
	// eventsPerSecond bounds the events of one number that a node logs.
	eventsPerSecond = 50
	// headTimeout bounds the time for the head of a request to the node's own pages.
	headTimeout = 5 * time.Second
)

// Limits of clients' requests before the first configuration, such as most HTTP
// servers have.
const (
	headerBytesBefore   = 16 << 10
	bodyBytesBefore     = 1 << 20
	headerTimeoutBefore = 3 * time.Second
	idleTimeoutBefore   = 15 * time.Second
)

// Config is what a node needs from its program.
type Config struct {
	// Settings are the node's settings.
	Settings *settings.Reloadable
	// Headers names the deployment's headers.
	Headers message.Headers
	// Source feeds configuration and endpoints.
	Source discovery.Source
	// ReadinessPath is where the platform asks whether the node is ready.
	ReadinessPath string
	// Version is the text of the program's version.
	Version string
	// EventOutput takes event lines.
	EventOutput io.Writer
}

// Node is one node.
type Node struct {
	config  Config
	now     func() time.Duration
	log     *event.Log
	lines   io.Closer
	holder  *fleetview.Holder
	board   *discovery.Directory
	feed    *updatefeed.Feed
	mesh    *proxy.Proxy
	clients *ingress.Server
	door    net.Listener
	pages   []*page
	leaving atomic.Bool
	hangup  chan os.Signal
}

// page is a listener of the node's own with its server.
type page struct {
	field    string
	listener net.Listener
	server   *http.Server
}

// Start opens the listeners of a node.
func Start(c Config) (*Node, error) {
	started := time.Now()
	n := &Node{config: c, holder: &fleetview.Holder{}, hangup: make(chan os.Signal, 1), now: func() time.Duration { return time.Since(started) }}
	s := c.Settings.Load()
	peer, err := netip.ParseAddrPort(s.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "peerAddress")
	}
	ring := event.NewRing(eventLines)
	// A reader of the output that hangs must not hold up requests.
	lines := event.NewAsyncWriter(event.KeepOpen(c.EventOutput), func(count int) { n.log.RecordLostLines(count) })
	n.lines = lines
	n.log = event.NewLog(io.MultiWriter(lines, ring), "node", s.VM, s.Level()).LimitRate(eventsPerSecond)
	instruments := metrics.NewSet()
	n.board = discovery.NewDirectory(n.holder, n.log, n.now, peer.Port())
	n.feed = updatefeed.New(updatefeed.Config{
		Directory: n.board, Source: c.Source, View: n.holder, AvailabilityZone: s.AvailabilityZone,
		EndpointAddress: s.EndpointAddress, Log: n.log,
	})
	n.mesh = proxy.New(proxy.Config{
		Settings: s, RetryBudget: n.repeats, Headers: c.Headers, View: n.holder, SharedState: n.board,
		Log: n.log, Metrics: instruments, Now: n.now,
	})
	n.clients = ingress.New(ingress.Config{Limits: n.limits, Handler: n.mesh.Serve})
	if err := n.listen(n.statusHandler(ring, instruments)); err != nil {
		n.abort()
		return nil, err
	}
	signal.Notify(n.hangup, syscall.SIGHUP) // without it the signal ends the process
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
		Admission: func() any { return n.mesh.State() },
		Events:    ring,
		Metrics:   instruments.Registry(),
	}).Handler()
}

// listen opens every listener, so that an address in use is found at start.
func (n *Node) listen(statusPages http.Handler) error {
	s := n.config.Settings.Load()
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET "+n.config.ReadinessPath, n.serveReadiness)
	for _, one := range []struct {
		field, address string
		handler        http.Handler
	}{
		{"peerAddress", s.PeerAddress, n.peerHandler()},
		{"readinessAddress", s.ReadinessAddress, readiness},
		{"statusAddress", s.StatusAddress, statusPages},
	} {
		l, err := listenOn(one.field, one.address)
		if err != nil {
			return err
		}
		n.pages = append(n.pages, &page{
			field: one.field, listener: l,
			server: &http.Server{Handler: one.handler, ReadHeaderTimeout: headTimeout},
		})
	}
	l, err := listenOn("clientAddress", s.ClientAddress)
	n.door = l
	return err
}

// peerHandler takes the links of other nodes.
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(calllink.Path, n.mesh.PeerHandler())
	mux.Handle(updatefeed.Path, n.feed)
	return mux
}

func listenOn(field, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Wrapf(err, "%s %s: choose another address or end the process that uses it", field, address)
}

// abort closes what a failed start has opened. That start's error is told, so
// errors here are not.
func (n *Node) abort() {
	for _, one := range n.pages {
		_ = one.listener.Close()
	}
	_ = n.lines.Close()
}

// limits returns the limits of clients' requests that are in force.
func (n *Node) limits() ingress.Limits {
	b := n.holder.Load().ClientLimits
	l := ingress.Limits{
		HeaderBytes: headerBytesBefore, BodyBytes: bodyBytesBefore,
		HeaderTimeout: headerTimeoutBefore, IdleTimeout: idleTimeoutBefore,
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

// repeats returns the fleet's budget for repeats that is in force.
func (n *Node) repeats() proxy.RetryBudget {
	s := n.config.Settings.Load()
	return proxy.RetryBudget{Ratio: s.RetryRatio, Allowance: s.RetryAllowance, Window: s.RetryWindowDuration()}
}

// serveReadiness says whether clients may send requests to this node.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if n.leaving.Load() || n.holder.Load().Index == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Run serves until ctx ends, then stops as planned.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group errgroup.Group
	for _, work := range []func(context.Context){
		n.mesh.Run, n.board.Run, n.reload, n.account,
		n.feed.Run,
	} {
		group.Go(func() error {
			n.keep(background, work)
			return nil
		})
	}
	group.Go(func() error { return errors.Wrap(n.clients.Serve(n.door), "serve clientAddress") })
	for _, one := range n.pages {
		group.Go(func() error {
			err := one.server.Serve(one.listener)
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return errors.Wrapf(err, "serve %s", one.field)
		})
	}
	<-ctx.Done()
	clean := n.leave(background)
	cancel()
	err := group.Wait()
	n.log.ReportDroppedLines()
	n.log.Emit(event.NodeStopped, "", event.F("clean", clean))
	if closeErr := n.closeLines(); err == nil {
		err = closeErr
	}
	return err
}

// restartPause is the pause before a background task that failed starts anew. It is
// within the time that others have to take over what the task did.
const restartPause = time.Second

// keep does background work until ctx ends, anew where it fails.
func (n *Node) keep(ctx context.Context, work func(context.Context)) {
	for ctx.Err() == nil {
		func() {
			defer n.log.Recover("", func() { wait.For(ctx, restartPause) })
			work(ctx)
		}()
	}
}

// linesTimeout bounds the writing of the last events. It is short against the
// rest of a stop's time once nothing is in flight.
const linesTimeout = 200 * time.Millisecond

// closeLines writes the events that wait, unless the reader of the output hangs.
func (n *Node) closeLines() error {
	closed := make(chan error, 1)
	go func() { closed <- n.lines.Close() }()
	select {
	case err := <-closed:
		return errors.Wrap(err, "write events")
	case <-time.After(linesTimeout):
		return errors.New("the output takes no more events: the last ones are lost")
	}
}

// accountInterval is the time between two looks at lines that were held back.
const accountInterval = time.Second

// account tells of events that were not written until ctx ends.
func (n *Node) account(ctx context.Context) {
	wait.Every(ctx, accountInterval, n.log.ReportDroppedLines)
}
