package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacart/galenacart/internal/event"
)

const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 2 * time.Second
)

// Run serves the platform until ctx ends.
func Run(ctx context.Context, s *Settings, log *event.Log) error {
	p := New(s, log)
	if err := p.LoadKeys(s.Keys); err != nil {
		return err
	}
	keys, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrapf(err, "address %s", s.Address)
	}
	admin, err := net.Listen("tcp", s.AdminAddress)
	if err != nil {
		_ = keys.Close()
		return errors.Wrapf(err, "adminAddress %s", s.AdminAddress)
	}
	log.Emit(event.StandinStarted, "",
		event.F("address", s.Address), event.F("adminAddress", s.AdminAddress))
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serve(ctx, keys, p.Handler()) })
	group.Go(func() error { return serve(ctx, admin, p.AdminHandler()) })
	if err := group.Wait(); err != nil {
		return err
	}
	log.Emit(event.StandinStopped, "")
	return nil
}

// serve serves a listener until ctx ends, which also ends the waiting watches.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx) // open connections are closed at process exit
	})
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
