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
	readyPollInterval = 50 * time.Millisecond
	readyCheckTimeout = time.Second
)

// WaitReady waits until every process in targets serves requests: endpoints
// accept connections, and nodes issue tokens, which requires a catalogue in
// force.
func WaitReady(ctx context.Context, t *Targets) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range t.Services {
		for _, address := range s.Endpoints {
			group.Go(func() error { return waitUntilReady(ctx, address, checkAcceptsConnections) })
		}
	}
	if t.Mode == ModeGalenacart {
		for _, address := range t.Nodes() {
			group.Go(func() error { return waitUntilReady(ctx, address, checkIssuesTokens) })
		}
	}
	return group.Wait()
}

func waitUntilReady(ctx context.Context, address string, ready func(context.Context, string) error) error {
	for {
		err := ready(ctx, address)
		if err == nil {
			return nil
		}
		if !waitUntil(ctx, time.Now().Add(readyPollInterval)) {
			return errors.Wrapf(err, "%s is not ready", address)
		}
	}
}

func checkAcceptsConnections(ctx context.Context, address string) error {
	d := net.Dialer{Timeout: readyCheckTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	return c.Close()
}

func checkIssuesTokens(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, readyCheckTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+traffic.PathToken, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "request a token")
	}
	r.Close = true
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return errors.Wrap(err, "request a token")
	}
	_ = response.Body.Close() // only the status is used
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("request a token: status %d", response.StatusCode)
	}
	return nil
}
