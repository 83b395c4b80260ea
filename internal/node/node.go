// Package node puts a node together: its listeners, its traffic and its control
// thread, and its planned stop.
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
	// eventLines bounds the recent events that a node shows.
	eventLines = 2000
	// eventsPerSecond bounds the events of one number that a node logs.
	eventsPerSecond = 50
	// headTimeout bounds the time in which a request's head must arrive.
	headTimeout = 10 * time.Second
	// idleTimeout is longer than that of clients, so that clients close first.
	idleTimeout = 2 * time.Minute
	// drainGrace is the time between the first word of the planned stop and the
	// closing of the listeners, in which other nodes stop sending.
	drainGrace = 500 * time.Millisecond
	// headBytesMax bounds the head of a request.
	headBytesMax = 64 << 10
)

// Node is one node.
type Node struct {
	settings    *settings.Node
	incarnation uint64
	now         func() time.Duration
	ring        *event.Ring
	lines       io.Closer
	log         *event.Log
	instruments *metrics.Set
	refusals    *status.Refusals
	holder      *fleetview.Holder
	reports     *fleetview.Reports
	traffic     *traffic.Traffic
	control     *control.Control
	status      *status.Server
	servers     []*listening
}

// listening is one listener with its server.
type listening struct {
	field    string
	listener net.Listener
	server   *http.Server
}

// Start opens the listeners of a node and starts its work. Events go to out.
func Start(ctx context.Context, s *settings.Node, version string, out io.Writer) (*Node, error) {
	started := time.Now()
	n := &Node{
		settings:    s,
		incarnation: uint64(started.UnixNano()),
		now:         func() time.Duration { return time.Since(started) },
		ring:        event.NewRing(eventLines),
		instruments: metrics.NewSet(),
		refusals:    status.NewRefusals(),
		holder:      &fleetview.Holder{},
		reports:     fleetview.NewReports(),
	}
	// A reader of the output that hangs must not hold up calls.
	lines := event.NewAsyncWriter(event.KeepOpen(out), func(count int) { n.log.RecordLostLines(count) })
	n.lines = lines
	n.log = event.NewLog(io.MultiWriter(lines, n.ring), "node", s.VM, s.Level()).LimitRate(eventsPerSecond)
	n.traffic = n.newTraffic()
	if err := n.listen(); err != nil {
		n.abort()
		return nil, err
	}
	// The planned stop needs control after ctx has ended; Stop ends it.
	c, err := n.startControl(context.WithoutCancel(ctx))
	if err != nil {
		n.abort()
		return nil, errors.Wrap(err, "start control")
	}
	n.control = c
	n.status = n.newStatus(version)
	n.attach()
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
		Metrics:     n.instruments,
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
		Registry:    n.instruments.Registry(),
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
		Events:    n.ring,
		Metrics:   n.instruments.Registry(),
	})
}

// catalogueState says which catalogue is in force and what holds back a newer one.
func (n *Node) catalogueState() status.Catalogue {
	state, _ := n.control.Catalogue()
	out := status.Catalogue{Revision: state.Revision}
	if refused := state.Refused; refused != nil {
		out.Refused = refused.Revision
		out.Reason = refused.Reason
	}
	return out
}

// listen opens every listener, so that an address in use is found at start.
func (n *Node) listen() error {
	addresses := []struct{ field, address string }{
		{"callerAddress", n.settings.CallerAddress},
		{"peerAddress", n.settings.EffectivePeerListenAddress()},
		{"outboundAddress", n.settings.OutboundAddress},
		{"statusAddress", n.settings.StatusAddress},
	}
	for _, a := range addresses {
		l, err := net.Listen("tcp", a.address)
		if err != nil {
			return errors.Wrapf(err, "%s %s: choose another address or end the process that uses it", a.field, a.address)
		}
		n.servers = append(n.servers, &listening{field: a.field, listener: l})
	}
	return nil
}

// attach gives every listener its handler.
func (n *Node) attach() {
	peers := http.NewServeMux()
	peers.Handle("/galenacart/peer", n.control.PeerHandler())
	peers.Handle("/", n.traffic.PeerHandler())
	handlers := []http.Handler{
		n.traffic.CallerHandler(),
		peers,
		n.traffic.OutboundHandler(),
		n.status.Handler(),
	}
	for i, one := range n.servers {
		one.server = &http.Server{
			Handler:           handlers[i],
			ReadHeaderTimeout: headTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    headBytesMax,
		}
	}
}

// abort closes what a failed start has opened. That start's error is told, so
// errors here are not.
func (n *Node) abort() {
	for _, one := range n.servers {
		_ = one.listener.Close()
	}
	_ = n.lines.Close()
}

// Run serves until ctx ends, then stops as planned: the fleet is told, work in
// flight finishes, and everything is closed within the bound of the settings.
// The error says what was cut off.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		n.traffic.Run(background)
		return nil
	})
	for _, one := range n.servers {
		group.Go(func() error {
			err := one.server.Serve(one.listener)
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return errors.Wrapf(err, "serve %s", one.field)
		})
	}
	<-ctx.Done()
	err := n.stop(background)
	cancel()
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	if closeErr := n.lines.Close(); err == nil {
		err = errors.Wrap(closeErr, "write events")
	}
	return err
}

// stop ends the node as planned.
func (n *Node) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.settings.StopTimeout())
	defer cancel()
	n.log.Emit(event.NodeLeaving, "")
	n.traffic.Leave()
	n.control.Leave()
	wait.For(ctx, drainGrace)
	var first error
	// The endpoint's own calls end last: work in flight needs them.
	for _, one := range n.servers {
		if err := one.server.Shutdown(ctx); err != nil && first == nil {
			first = errors.Wrapf(err, "stop %s", one.field)
		}
	}
	n.traffic.Close()
	if err := n.control.Stop(ctx); err != nil && first == nil {
		first = errors.Wrap(err, "stop control")
	}
	n.log.Emit(event.NodeStopped, "", event.F("clean", first == nil))
	return first
}
