package runner

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacart/galenacart/internal/traffic"
)

const (
	readyPause = 50 * time.Millisecond
	readyDial  = time.Second
)

// WaitReady waits until every process in targets takes requests: endpoints
// accept connections, and nodes hand out tokens, for which they need a
// catalogue in force.
func WaitReady(ctx context.Context, t *Targets) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range t.Services {
		for _, address := range s.Endpoints {
			group.Go(func() error { return waitFor(ctx, address, accepts) })
		}
	}
	if t.Mode == ModeGalenacart {
		for _, address := range t.Nodes() {
			group.Go(func() error { return waitFor(ctx, address, handsOutTokens) })
		}
	}
	return group.Wait()
}

func waitFor(ctx context.Context, address string, ready func(context.Context, string) error) error {
	for {
		err := ready(ctx, address)
		if err == nil {
			return nil
		}
		if !waitUntil(ctx, time.Now().Add(readyPause)) {
			return errors.Wrapf(err, "%s is not ready", address)
		}
	}
}

func accepts(ctx context.Context, address string) error {
	d := net.Dialer{Timeout: readyDial}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	return c.Close()
}

func handsOutTokens(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, readyDial)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+traffic.PathToken, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "ask for a token")
	}
	r.Close = true
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return errors.Wrap(err, "ask for a token")
	}
	_ = response.Body.Close() // the status says it all
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("ask for a token: status %d", response.StatusCode)
	}
	return nil
}
