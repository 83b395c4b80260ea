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
	// Summary is the short state. It is empty when Err is set.
	Summary status.Summary
	// Node is the whole state, where it was asked for.
	Node *status.Node
	// Refusals holds the refusals of the request that was asked about.
	Refusals []status.Refusal
	// Events holds the recent events of the request that was asked about.
	Events *timeline.Log
	// Err says why there is no answer.
	Err error
}

// Summaries asks every address for its short state. Answers have the order of
// the addresses.
func (c *Client) Summaries(ctx context.Context, addresses []string) []Answer {
	return each(addresses, func(a *Answer) error {
		return c.getJSON(ctx, a.Address, status.PathSummary, nil, &a.Summary)
	})
}

// Nodes asks every address for its whole state.
func (c *Client) Nodes(ctx context.Context, addresses []string) []Answer {
	return each(addresses, func(a *Answer) error {
		a.Node = &status.Node{}
		return c.getJSON(ctx, a.Address, status.PathStatus, nil, a.Node)
	})
}

// QueryRequest asks every address what it still knows of a request.
func (c *Client) QueryRequest(ctx context.Context, correlation string, addresses []string) []Answer {
	query := url.Values{status.QueryCorrelation: {correlation}}
	return each(addresses, func(a *Answer) error {
		if err := c.getJSON(ctx, a.Address, status.PathSummary, nil, &a.Summary); err != nil {
			return err
		}
		if err := c.getJSON(ctx, a.Address, status.PathRefusals, query, &a.Refusals); err != nil {
			return err
		}
		return c.get(ctx, a.Address, status.PathEvents, query, func(body io.Reader) error {
			var err error
			a.Events, err = timeline.Parse(body)
			return err
		})
	})
}

func each(addresses []string, ask func(*Answer) error) []Answer {
	answers := make([]Answer, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for i, address := range addresses {
		group.Go(func() error {
			a := &answers[i]
			a.Address = address
			a.Err = ask(a)
			return nil
		})
	}
	_ = group.Wait() // each answer has its own error
	return answers
}

func (c *Client) getJSON(ctx context.Context, address, path string, query url.Values, into any) error {
	return c.get(ctx, address, path, query, func(body io.Reader) error {
		return errors.Wrapf(json.NewDecoder(body).Decode(into), "decode %s of %s", path, address)
	})
}

func (c *Client) get(ctx context.Context, address, path string, query url.Values, read func(io.Reader) error) error {
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
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
