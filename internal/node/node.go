// Package node assembles a node from its listeners, its traffic and its control
// thread, and implements the planned stop.
package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacart/galenacart/internal/control"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/status"
	"github.com/galenacart/galenacart/internal/traffic"
	"github.com/galenacart/galenacart/internal/wait"
)

const (
	// maxRecentEvents bounds the recent events that the status address serves.
	maxRecentEvents = 2000
	// eventsPerSecond is the rate limit of logged events of one number.
	eventsPerSecond = 50
	// headerTimeout bounds the time for reading a request's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than the idle timeout of clients, so that clients close first.
	idleTimeout = 2 * time.Minute
	// drainGrace is the time between the announcement of the planned stop and the
	// closing of the listeners, so that other nodes stop sending first.
	drainGrace = 500 * time.Millisecond
	// maxHeaderBytes bounds the size of a request's headers.
	maxHeaderBytes = 64 << 10
)

// Node is a node with open listeners and a running control thread.
type Node struct {
	settings     *settings.Node
	incarnation  uint64
	now          func() time.Duration
	recentEvents *event.Ring
	logWriter    io.Closer
	log          *event.Log
	metricSet    *metrics.Set
	refusals     *status.Refusals
	holder       *fleetview.Holder
	reports      *fleetview.Reports
	traffic      *traffic.Traffic
	control      *control.Control
	status       *status.Server
	servers      []*listenerServer
}

// listenerServer is a listener with its server and the setting of its address.
type listenerServer struct {
	setting  string
	listener net.Listener
	server   *http.Server
}

// Start opens the listeners of a node and starts its control thread. Events go to out.
func Start(ctx context.Context, s *settings.Node, version string, out io.Writer) (*Node, error) {
	started := time.Now()
	n := &Node{
		settings:     s,
		incarnation:  uint64(started.UnixNano()),
		now:          func() time.Duration { return time.Since(started) },
		recentEvents: event.NewRing(maxRecentEvents),
		metricSet:    metrics.NewSet(),
		refusals:     status.NewRefusals(),
		holder:       &fleetview.Holder{},
		reports:      fleetview.NewReports(),
	}
	// Calls must not block when the reader of the output hangs.
	logWriter := event.NewAsyncWriter(event.KeepOpen(out), func(count int) { n.log.RecordLostLines(count) })
	n.logWriter = logWriter
	n.log = event.NewLog(io.MultiWriter(logWriter, n.recentEvents), "node", s.VM, s.Level()).LimitRate(eventsPerSecond)
	n.traffic = n.newTraffic()
	if err := n.listen(); err != nil {
		n.abort()
		return nil, err
	}
	// The planned stop needs control after ctx has ended; stop stops it.
	c, err := n.startControl(context.WithoutCancel(ctx))
	if err != nil {
		n.abort()
		return nil, errors.Wrap(err, "start control")
	}
	n.control = c
	n.status = n.newStatus(version)
	n.setHandlers()
	n.log.Emit(event.NodeStarted, "", event.F("incarnation", n.incarnation), event.F("caller_address", s.CallerAddress))
	return n, nil
}

func (n *Node) newTraffic() *traffic.Traffic {
	return traffic.New(traffic.Config{
		Settings:    n.settings,
		Incarnation: n.incarnation,
		View:        n.holder,
		Reports:     n.reports,
		Log:         n.log,
		Metrics:     n.metricSet,
		Refusals:    n.refusals,
		Now:         n.now,
	})
}

func (n *Node) startControl(ctx context.Context) (*control.Control, error) {
	return control.Start(ctx, control.Config{
		Settings:    n.settings,
		Incarnation: n.incarnation,
		Log:         n.log,
		Holder:      n.holder,
		Reports:     n.reports,
		Registry:    n.metricSet.Registry(),
		Now:         n.now,
	})
}

func (n *Node) newStatus(version string) *status.Server {
	s := n.settings
	return status.New(status.Config{
		Identity: status.Node{
			VM:               s.VM,
			AvailabilityZone: s.AvailabilityZone,
			Region:           s.Region,
			Service:          s.Service,
			Incarnation:      n.incarnation,
			Version:          version,
		},
		View:      n.holder,
		Catalogue: n.catalogueState,
		Admission: n.traffic.AdmissionState,
		Records:   n.traffic.RecordsState,
		Control:   func() any { return n.control.Status() },
		Refusals:  n.refusals,
		Events:    n.recentEvents,
		Metrics:   n.metricSet.Registry(),
	})
}

// catalogueState returns the catalogue in force and why a newer one was refused.
func (n *Node) catalogueState() status.Catalogue {
	state, _ := n.control.Catalogue()
	out := status.Catalogue{Revision: state.Revision}
	if refused := state.Refused; refused != nil {
		out.Refused = refused.Revision
		out.Reason = refused.Reason
	}
	return out
}

// listen opens every listener, so that an address in use is reported at start.
func (n *Node) listen() error {
	addresses := []struct{ setting, address string }{
		{"callerAddress", n.settings.CallerAddress},
		{"peerAddress", n.settings.EffectivePeerListenAddress()},
		{"outboundAddress", n.settings.OutboundAddress},
		{"statusAddress", n.settings.StatusAddress},
	}
	for _, a := range addresses {
		l, err := net.Listen("tcp", a.address)
		if err != nil {
			return errors.Wrapf(err, "%s %s: choose another address or end the process that uses it", a.setting, a.address)
		}
		n.servers = append(n.servers, &listenerServer{setting: a.setting, listener: l})
	}
	return nil
}

// setHandlers creates the server of every listener.
func (n *Node) setHandlers() {
	peers := http.NewServeMux()
	peers.Handle("/galenacart/peer", n.control.PeerHandler())
	peers.Handle("/", n.traffic.PeerHandler())
	handlers := []http.Handler{
		n.traffic.CallerHandler(),
		peers,
		n.traffic.OutboundHandler(),
		n.status.Handler(),
	}
	for i, s := range n.servers {
		s.server = &http.Server{
			Handler:           handlers[i],
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		}
	}
}

// abort closes what a failed start has opened. It ignores errors, as Start returns the
// error that made it fail.
func (n *Node) abort() {
	for _, s := range n.servers {
		_ = s.listener.Close()
	}
	_ = n.logWriter.Close()
}

// Run serves until ctx ends, then performs the planned stop: it announces the stop to
// the fleet, waits for calls in flight, and closes everything within the stop timeout
// of the settings. The error is the first failure, such as an exceeded timeout.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		n.traffic.Run(background)
		return nil
	})
	for _, s := range n.servers {
		group.Go(func() error {
			err := s.server.Serve(s.listener)
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return errors.Wrapf(err, "serve %s", s.setting)
		})
	}
	<-ctx.Done()
	err := n.stop(background)
	cancel()
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	if closeErr := n.logWriter.Close(); err == nil {
		err = errors.Wrap(closeErr, "write events")
	}
	return err
}

// stop performs the planned stop.
func (n *Node) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.settings.StopTimeout())
	defer cancel()
	n.log.Emit(event.NodeLeaving, "")
	n.traffic.Leave()
	n.control.Leave()
	wait.For(ctx, drainGrace)
	var firstErr error
	// The server of outbound calls stops after those of requests, which may need it.
	for _, s := range n.servers {
		if err := s.server.Shutdown(ctx); err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "stop %s", s.setting)
		}
	}
	n.traffic.Close()
	if err := n.control.Stop(ctx); err != nil && firstErr == nil {
		firstErr = errors.Wrap(err, "stop control")
	}
	n.log.Emit(event.NodeStopped, "", event.F("clean", firstErr == nil))
	return firstErr
}
