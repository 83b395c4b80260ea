package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/standin/endpoint"
)

// AdminClient changes the behaviour of endpoint stand-ins over their admin listeners.
type AdminClient struct {
	targets *Targets
	client  *http.Client
}

// NewAdminClient returns a client for the admin listeners of the endpoints in
// targets.
func NewAdminClient(targets *Targets) *AdminClient {
	return &AdminClient{targets: targets, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Slow multiplies the service time of all endpoints of a service.
func (a *AdminClient) Slow(ctx context.Context, service string, factor float64) error {
	body, err := json.Marshal(endpoint.BehaviourChange{SlowFactor: &factor})
	if err != nil {
		return errors.Wrap(err, "encode behaviour")
	}
	return a.sendToService(ctx, service, http.MethodPut, "/admin/behaviour", body)
}

// SilenceConnections makes the endpoints of a service stop responding on all
// their open connections.
func (a *AdminClient) SilenceConnections(ctx context.Context, service string) error {
	return a.sendToService(ctx, service, http.MethodPost, "/admin/silence", nil)
}

// sendToService sends a request to every endpoint of a service.
func (a *AdminClient) sendToService(ctx context.Context, service, method, path string, body []byte) error {
	s := a.targets.service(service)
	if s == nil {
		return errors.Errorf("no endpoints of service %q in the targets", service)
	}
	for _, address := range s.AdminAddresses {
		if err := a.send(ctx, method, address, path, body); err != nil {
			return err
		}
	}
	return nil
}

func (a *AdminClient) send(ctx context.Context, method, address, path string, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "admin address %s", address)
	}
	response, err := a.client.Do(r)
	if err != nil {
		return errors.Wrapf(err, "admin address %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxDetailBytes))
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("admin address %s: status %d: %s", address, response.StatusCode, text)
	}
	return nil
}
