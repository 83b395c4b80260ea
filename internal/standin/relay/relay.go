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

// Relay forwards connections.
type Relay struct {
	settings *Settings
	zones    map[netip.Addr]string
	network  *network
	log      *event.Log

	mu        sync.Mutex
	open      map[*connection]bool
	listeners map[*net.TCPListener]string // the availability zone of the target
}

// New returns a relay of a whole network.
func New(s *Settings, log *event.Log) *Relay {
	return &Relay{
		settings: s, zones: s.zones(), network: newNetwork(), log: log,
		open: map[*connection]bool{}, listeners: map[*net.TCPListener]string{},
	}
}

// Run forwards until ctx ends.
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

// listen opens all listeners and serves them in the group.
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
	config.SetMultipathTCP(false) // has no packet filters
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
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // ends with the process
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// serve accepts the connections of a route until ctx ends, and waits for them.
func (r *Relay) serve(ctx context.Context, l *net.TCPListener, route *Route) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() }) // ends Accept
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

// forward forwards one connection. One that crosses a cut hangs until its end.
func (r *Relay) forward(ctx context.Context, in *net.TCPConn, route *Route) {
	from := r.zoneOf(in)
	if !r.network.connect(ctx, from, route.AvailabilityZone) {
		abort(in)
		return
	}
	out, err := dial(ctx, route.Target)
	if err != nil {
		abort(in)
		return
	}
	c := &connection{network: r.network, from: from, to: route.AvailabilityZone, ends: [2]*net.TCPConn{in, out}}
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

// zoneOf returns the availability zone of who connected, or nothing.
func (r *Relay) zoneOf(conn net.Conn) string {
	source, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return r.zones[source.Addr().Unmap()]
}

func (r *Relay) track(c *connection, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.open[c] = true
	} else {
		delete(r.open, c)
	}
}

// SetPartition changes the cut. New connections across it hang, and in the mode Reset
// the open ones end at once.
func (r *Relay) SetPartition(c Partition) error {
	r.network.set(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	for one := range r.open {
		if c.Mode == ModeReset && c.separates(one.from, one.to) {
			one.reset()
		}
	}
	for l, zone := range r.listeners {
		if err := refuseSources(l, r.cutFrom(&c, zone)); err != nil {
			return err
		}
	}
	return nil
}

// cutFrom returns the sources that a cut separates from a zone.
func (r *Relay) cutFrom(c *Partition, zone string) []netip.Addr {
	var sources []netip.Addr
	for source, from := range r.zones {
		if source.Is4() && c.refuses(from, zone) {
			sources = append(sources, source)
		}
	}
	return sources
}
