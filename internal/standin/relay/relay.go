package relay

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacart/galenacart/internal/event"
)

const (
	dialTimeout       = time.Second
	readHeaderTimeout = 5 * time.Second
)

// Relay forwards TCP connections between availability zones.
type Relay struct {
	settings *Settings
	zones    map[netip.Addr]string // the availability zone of each source
	network  *network
	log      *event.Log

	mu        sync.Mutex
	open      map[*connection]bool
	listeners map[*net.TCPListener]string // the availability zone of the target
}

// New returns a relay without a partition.
func New(s *Settings, log *event.Log) *Relay {
	return &Relay{
		settings: s, zones: s.zones(), network: newNetwork(), log: log,
		open: map[*connection]bool{}, listeners: map[*net.TCPListener]string{},
	}
}

// Run forwards connections until ctx ends.
func Run(ctx context.Context, s *Settings, log *event.Log) error {
	r := New(s, log)
	group, ctx := errgroup.WithContext(ctx)
	err := r.listen(ctx, group)
	if err == nil {
		log.Emit(event.StandinStarted, "", event.F("adminAddress", s.AdminAddress), event.F("routes", len(s.Routes)))
	} else {
		group.Go(func() error { return err })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	log.Emit(event.StandinStopped, "")
	return nil
}

// listen opens all listeners and starts serving them in the group.
func (r *Relay) listen(ctx context.Context, group *errgroup.Group) error {
	admin, err := net.Listen("tcp", r.settings.AdminAddress)
	if err != nil {
		return errors.Wrapf(err, "adminAddress %s", r.settings.AdminAddress)
	}
	group.Go(func() error { return serveAdmin(ctx, admin, r.AdminHandler()) })
	for i := range r.settings.Routes {
		route := &r.settings.Routes[i]
		l, err := r.listenAt(ctx, route)
		if err != nil {
			return errors.WithMessagef(err, "route %d", i)
		}
		group.Go(func() error { return r.serve(ctx, l, route) })
	}
	return nil
}

// listenAt opens the listener of a route.
func (r *Relay) listenAt(ctx context.Context, route *Route) (*net.TCPListener, error) {
	config := net.ListenConfig{}
	config.SetMultipathTCP(false) // MPTCP sockets have no packet filters
	l, err := config.Listen(ctx, "tcp", route.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %s", route.Address)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.Errorf("address %s: no TCP listener", route.Address)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners[tcp] = route.AvailabilityZone
	return tcp, nil
}

func serveAdmin(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // the error is irrelevant during shutdown
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// serve accepts the connections of a route until ctx ends, then waits until they
// are closed.
func (r *Relay) serve(ctx context.Context, l *net.TCPListener, route *Route) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() }) // makes Accept return
	defer stop()
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		conn, err := l.AcceptTCP()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "accept at %s", route.Address)
		}
		connections.Go(func() { r.forward(ctx, conn, route) })
	}
}

// forward forwards a connection. A connection that crosses a partition hangs until
// the partition ends.
func (r *Relay) forward(ctx context.Context, in *net.TCPConn, route *Route) {
	from := r.sourceZone(in)
	if !r.network.waitConnect(ctx, from, route.AvailabilityZone) {
		abort(in)
		return
	}
	out, err := dial(ctx, route.Target)
	if err != nil {
		abort(in)
		return
	}
	c := &connection{network: r.network, from: from, to: route.AvailabilityZone, conns: [2]*net.TCPConn{in, out}}
	r.track(c, true)
	defer r.track(c, false)
	stop := context.AfterFunc(ctx, c.reset)
	defer stop()
	c.run(ctx)
}

func dial(ctx context.Context, target string) (*net.TCPConn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", target)
	if err != nil {
		return nil, errors.Wrapf(err, "target %s", target)
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.Errorf("target %s: no TCP connection", target)
	}
	return tcp, nil
}

// sourceZone returns the availability zone of the remote address, or an empty
// string if it is unknown.
func (r *Relay) sourceZone(conn net.Conn) string {
	source, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return r.zones[source.Addr().Unmap()]
}

// track adds a connection to the open ones or removes it.
func (r *Relay) track(c *connection, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.open[c] = true
	} else {
		delete(r.open, c)
	}
}

// SetPartition replaces the partition. New connections across it hang unless it
// only delays data, and ModeReset resets the open ones.
func (r *Relay) SetPartition(p Partition) error {
	r.network.setPartition(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		if p.Mode == ModeReset && p.separates(c.from, c.to) {
			c.reset()
		}
	}
	for l, zone := range r.listeners {
		if err := dropSources(l, r.blockedSources(&p, zone)); err != nil {
			return err
		}
	}
	return nil
}

// blockedSources returns the IPv4 sources whose new connections to a zone hang.
func (r *Relay) blockedSources(p *Partition, zone string) []netip.Addr {
	var sources []netip.Addr
	for source, from := range r.zones {
		if source.Is4() && p.blocksConnections(from, zone) {
			sources = append(sources, source)
		}
	}
	return sources
}
