// Package platform reads keys from the platform's key service, which is read-only
// for nodes.
package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Keys that nodes read.
const (
	// KeyCatalogue holds the catalogue.
	KeyCatalogue = "catalogue"
	// KeyVMs holds the list of VMs, which lags behind their actual state.
	KeyVMs = "vms"
)

// Headers of the platform's answers.
const (
	// HeaderRevision carries the revision of the whole key space.
	HeaderRevision = "Platform-Revision"
	// HeaderKeyRevision carries the revision at which the key last changed.
	HeaderKeyRevision = "Platform-Key-Revision"
)

const (
	// MaxValueBytes is the largest value that the platform can hold.
	MaxValueBytes = 1 << 20
	// answerTimeout is the time for an answer beyond the wait of a watch.
	answerTimeout = 2 * time.Second
)

// Value is one version of a key.
type Value struct {
	// Data is the value.
	Data []byte
	// Revision is the revision at which the key last changed.
	Revision uint64
}

// Client reads from one platform address at a time, and fails over to the next
// address if that does not answer.
type Client struct {
	addresses    []string
	http         *http.Client
	addressIndex atomic.Uint32
}

// NewClient returns a client. addresses holds at least one IP:port.
func NewClient(addresses []string, client *http.Client) *Client {
	return &Client{addresses: addresses, http: client}
}

// Get reads a key. The error is a *ReadError.
func (c *Client) Get(ctx context.Context, key string) (*Value, error) {
	return c.read(ctx, key, "", answerTimeout)
}

// Watch waits until the key has changed after a revision, for at most wait. The
// error is a *ReadError; its reason is ReasonUnchanged if the key did not change.
func (c *Client) Watch(ctx context.Context, key string, afterRevision uint64, wait time.Duration) (*Value, error) {
	query := fmt.Sprintf("?after=%d&waitMs=%d", afterRevision, wait.Milliseconds())
	return c.read(ctx, key, query, wait+answerTimeout)
}

func (c *Client) read(ctx context.Context, key, query string, timeout time.Duration) (*Value, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	index := c.addressIndex.Load()
	address := c.addresses[int(index)%len(c.addresses)]
	value, err := c.readFrom(ctx, address, key, query)
	if err != nil && ReasonOf(err).shouldFailOver() {
		c.addressIndex.CompareAndSwap(index, index+1)
	}
	return value, err
}

func (c *Client) readFrom(ctx context.Context, address, key, query string) (*Value, error) {
	target := "http://" + address + "/v1/keys/" + url.PathEscape(key) + query
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, &ReadError{Reason: ReasonInvalidAnswer, Cause: errors.Wrap(err, "make request")}
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return nil, &ReadError{Reason: reasonOfError(err), Cause: errors.Wrapf(err, "read %s", key)}
	}
	defer func() { _ = answer.Body.Close() }() // only read from
	revision, revisionErr := strconv.ParseUint(answer.Header.Get(HeaderKeyRevision), 10, 64)
	if answer.StatusCode != http.StatusOK {
		return nil, &ReadError{Reason: reasonOfStatus(answer.StatusCode), Revision: revision, Cause: errors.Errorf("read %s: %s", key, answer.Status)}
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, MaxValueBytes+1))
	switch {
	case err != nil:
		return nil, &ReadError{Reason: ReasonUnreachable, Cause: errors.Wrapf(err, "read %s", key)}
	case revisionErr != nil:
		return nil, &ReadError{Reason: ReasonInvalidAnswer, Cause: errors.Wrapf(revisionErr, "%s of %s", HeaderKeyRevision, key)}
	case len(data) > MaxValueBytes:
		return nil, &ReadError{Reason: ReasonInvalidAnswer, Cause: errors.Errorf("%s is larger than %d bytes", key, MaxValueBytes)}
	}
	return &Value{Data: data, Revision: revision}, nil
}
