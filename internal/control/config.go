// Package control is the control side of a node: one thread that owns all
// control state. Controllers on that thread exchange their results over a
// blackboard; other goroutines do the I/O and only post messages to the thread.
package control

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/galenacart/galenacart/decision/readers"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/settings"
)

// Config holds the settings and dependencies of a Control.
type Config struct {
	// Settings are the settings of the node.
	Settings *settings.Node
	// Incarnation identifies this run of the process; it is not 0.
	Incarnation uint64
	// Log receives the events.
	Log *event.Log
	// Holder publishes the views.
	Holder *fleetview.Holder
	// Reports delivers the observations of traffic.
	Reports *fleetview.Reports
	// Registry receives the metrics.
	Registry metrics.Registry
	// HTTP is the client for the platform and for peers. Optional. It must have no
	// timeout of its own, as watches and links are long-lived.
	HTTP *http.Client
	// Now returns the monotonic time since the process started.
	Now func() time.Duration
	// StartWindow is the time over which nodes that start simultaneously spread
	// their first read. Optional; the default suits the largest fleet.
	StartWindow time.Duration
}

// Timeouts of the default HTTP client.
const (
	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
	idleConns       = 4
)

func (c *Config) check() error {
	switch {
	case c.Settings == nil, c.Log == nil, c.Holder == nil, c.Reports == nil, c.Registry == nil, c.Now == nil:
		return errors.New("control: incomplete configuration")
	case c.Incarnation == 0:
		return errors.New("control: the incarnation is 0")
	}
	if c.HTTP == nil {
		c.HTTP = newHTTPClient(c.Settings)
	}
	if c.StartWindow == 0 {
		c.StartWindow = readers.StartWindow
	}
	return nil
}

func newHTTPClient(s *settings.Node) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         s.Dialer(dialTimeout).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
}
