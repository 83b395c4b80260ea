// Package inspect reads the status of nodes and sums it up for operators. It
// only reads.
package inspect

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacart/galenacart/internal/status"
	"github.com/galenacart/galenacart/internal/timeline"
)

const (
	// maxBodyBytes bounds what is read from one node.
	maxBodyBytes = 16 << 20
	// maxParallel bounds the nodes that are asked at once.
	maxParallel = 64
	// connectionIdle is the time for which a connection is kept for the next
	// question to the same node.
	connectionIdle = time.Second
)

// Client asks nodes at their status addresses.
type Client struct {
	http *http.Client
}

// NewClient returns a client that gives each node the given time to answer.
func NewClient(timeout time.Duration) *Client {
	transport := &http.Transport{IdleConnTimeout: connectionIdle}
	return &Client{http: &http.Client{Timeout: timeout, Transport: transport}}
}

// Close ends the client's idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Answer is what one node said.
type Answer struct {
	// Address is the status address that was asked.
	Address string
	// Node is the state, or nil when Err is set.
	Node *status.Node
	// Events holds recent events, where they were asked for.
	Events *timeline.Log
	// Err says why there is no answer.
	Err error
}

// Status asks every address for its state. Answers have the order of the
// addresses.
func (c *Client) Status(ctx context.Context, addresses []string) []Answer {
	return each(addresses, func(address string) Answer {
		return c.status(ctx, address)
	})
}

// StatusAndEvents asks every address for its state and its recent events.
func (c *Client) StatusAndEvents(ctx context.Context, addresses []string) []Answer {
	return each(addresses, func(address string) Answer {
		a := c.status(ctx, address)
		if a.Err != nil {
			return a
		}
		a.Events, a.Err = c.events(ctx, address)
		return a
	})
}

func each(addresses []string, ask func(address string) Answer) []Answer {
	answers := make([]Answer, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for i, address := range addresses {
		group.Go(func() error {
			answers[i] = ask(address)
			return nil
		})
	}
	_ = group.Wait() // each answer has its own error
	return answers
}

func (c *Client) status(ctx context.Context, address string) Answer {
	a := Answer{Address: address}
	a.Err = c.get(ctx, address, status.PathStatus, func(body io.Reader) error {
		n := &status.Node{}
		if err := json.NewDecoder(body).Decode(n); err != nil {
			return errors.Wrap(err, "decode status")
		}
		a.Node = n
		return nil
	})
	return a
}

func (c *Client) events(ctx context.Context, address string) (*timeline.Log, error) {
	var l *timeline.Log
	err := c.get(ctx, address, status.PathEvents, func(body io.Reader) error {
		var err error
		l, err = timeline.Parse(body)
		return err
	})
	return l, err
}

func (c *Client) get(ctx context.Context, address, path string, read func(io.Reader) error) error {
	target := url.URL{Scheme: "http", Host: address, Path: path}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask node")
	}
	defer func() { _ = response.Body.Close() }() // only read from
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("ask node: %s answered %s", target.String(), response.Status)
	}
	return read(io.LimitReader(response.Body, maxBodyBytes))
}
