package endpoint

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	shutdownTimeout   = 2 * time.Second
)

// Run serves an endpoint until ctx ends and the endpoint has drained.
func Run(ctx context.Context, s *Settings, log *event.Log) error {
	out := io.Discard
	if s.TruthFile != "" {
		f, err := truth.OpenFile(s.TruthFile)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }() // records are not buffered
		out = f
	}
	e := New(s, truth.NewLog(out, s.VM, s.Service), log, Options{})
	service, err := net.Listen("tcp", s.EndpointAddress)
	if err != nil {
		return errors.Wrapf(err, "endpointAddress %s", s.EndpointAddress)
	}
	admin, err := net.Listen("tcp", s.AdminAddress)
	if err != nil {
		_ = service.Close()
		return errors.Wrapf(err, "adminAddress %s", s.AdminAddress)
	}
	return e.Serve(ctx, service, admin)
}

// Serve serves both listeners until ctx ends, then drains the endpoint and closes
// them. admin may be nil.
func (e *Endpoint) Serve(ctx context.Context, service, admin net.Listener) error {
	limited := newLimitListener(service, e.settings.Connections, e.emitLimitEvent)
	e.listener.Store(limited)
	defer limited.closeSilenced()
	e.truth.Add(truth.Record{Kind: truth.ProcessStarted})
	e.log.Emit(event.StandinStarted, "",
		event.F("endpointAddress", e.settings.EndpointAddress), event.F("adminAddress", e.settings.AdminAddress))
	serveErr := make(chan error, 2)
	server := e.newServer()
	go func() { serveErr <- server.Serve(limited) }()
	adminServer := &http.Server{Handler: e.AdminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	if admin != nil {
		go func() { serveErr <- adminServer.Serve(admin) }()
	}
	select {
	case <-ctx.Done():
	case err := <-serveErr:
		_ = server.Close()
		_ = adminServer.Close()
		return errors.Wrap(err, "serve")
	}
	e.drain()
	shutdown(server)
	shutdown(adminServer)
	e.client.CloseIdleConnections()
	e.truth.Add(truth.Record{Kind: truth.ProcessStopped})
	e.log.Emit(event.StandinStopped, "")
	return e.truth.Err()
}

func (e *Endpoint) newServer() *http.Server {
	return &http.Server{
		Handler:           e.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

// drain refuses new calls and returns when no call is running and the linger time
// has elapsed.
func (e *Endpoint) drain() {
	lingerEnd := time.Now().Add(e.settings.DrainLinger())
	<-e.Drain()
	time.Sleep(time.Until(lingerEnd))
}

// shutdown closes a server once its connections are idle or the timeout elapses.
func shutdown(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		_ = s.Close() // some connections did not become idle in time
	}
}
