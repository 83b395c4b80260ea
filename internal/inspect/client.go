// Package inspect queries the status of nodes and summarises it for operators. It is
// read-only.
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
	// maxBodyBytes bounds the size of a node's response.
	maxBodyBytes = 16 << 20
	// maxConcurrentQueries bounds the nodes that are queried at the same time.
	maxConcurrentQueries = 64
	// idleConnectionTimeout is the time for which a connection is kept for the next
	// query of the same node.
	idleConnectionTimeout = time.Second
)

// Client queries nodes at their status addresses.
type Client struct {
	http *http.Client
}

// NewClient returns a client with the given timeout for each query.
func NewClient(timeout time.Duration) *Client {
	transport := &http.Transport{IdleConnTimeout: idleConnectionTimeout}
	return &Client{http: &http.Client{Timeout: timeout, Transport: transport}}
}

// Close closes the client's idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Answer is the result of querying one node.
type Answer struct {
	// Address is the status address of the node.
	Address string
	// Summary is the short state. It is empty when Err is set.
	Summary status.Summary
	// Node is the full state, if it was queried.
	Node *status.Node
	// Refusals holds the refusals of the queried request.
	Refusals []status.Refusal
	// Events holds the recent events of the queried request.
	Events *timeline.Log
	// Err is the error of the query, or nil.
	Err error
}

// Summaries queries the short state of every node. Answers are in the order of
// the addresses.
func (c *Client) Summaries(ctx context.Context, addresses []string) []Answer {
	return queryAll(addresses, func(a *Answer) error {
		return c.getJSON(ctx, a.Address, status.PathSummary, nil, &a.Summary)
	})
}

// Nodes queries the full state of every node.
func (c *Client) Nodes(ctx context.Context, addresses []string) []Answer {
	return queryAll(addresses, func(a *Answer) error {
		a.Node = &status.Node{}
		return c.getJSON(ctx, a.Address, status.PathStatus, nil, a.Node)
	})
}

// QueryRequest queries the retained refusals and events of a request on every node.
func (c *Client) QueryRequest(ctx context.Context, correlation string, addresses []string) []Answer {
	query := url.Values{status.QueryCorrelation: {correlation}}
	return queryAll(addresses, func(a *Answer) error {
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

func queryAll(addresses []string, query func(*Answer) error) []Answer {
	answers := make([]Answer, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for i, address := range addresses {
		group.Go(func() error {
			a := &answers[i]
			a.Address = address
			a.Err = query(a)
			return nil
		})
	}
	_ = group.Wait() // errors are in the answers
	return answers
}

func (c *Client) getJSON(ctx context.Context, address, path string, query url.Values, into any) error {
	return c.get(ctx, address, path, query, func(body io.Reader) error {
		return errors.Wrapf(json.NewDecoder(body).Decode(into), "decode %s from %s", path, address)
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
		return errors.Wrap(err, "query node")
	}
	defer func() { _ = response.Body.Close() }() // only read from
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("query node: %s returned %s", target.String(), response.Status)
	}
	return read(io.LimitReader(response.Body, maxBodyBytes))
}
