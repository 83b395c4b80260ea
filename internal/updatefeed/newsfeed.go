// Package updatefeed spares the platform: a few nodes of each availability zone read
// it and tell the others, on links of their own. A node that hears nothing from its
// reader reads by itself, so that no node depends on another for long.
package updatefeed

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenacart/galenacart/decision/readers"
	"github.com/galenacart/galenacart/internal/discovery"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/wait"
)

const (
	// dutyInterval is the time between two looks at who reads.
	dutyInterval = 250 * time.Millisecond
	// retryPause is the time after a reader failed in which a node reads by itself.
	// It is long against what the node then spends on reading again.
	retryPause = 5 * time.Second
	// settleTime is the time for which a node that starts reads by itself: nodes
	// that start together first have to learn of each other.
	settleTime = 1500 * time.Millisecond
)

// Config is what a Feed needs from the node around it.
type Config struct {
	// Directory takes the news.
	Directory *discovery.Directory
	// Source reads the platform into a board.
	Source discovery.Source
	// View holds the endpoints in force.
	View *fleetview.Holder
	// AvailabilityZone is the node's own.
	AvailabilityZone string
	// EndpointAddress is the IP address and port of the node's endpoint.
	EndpointAddress string
	// Log takes events.
	Log *event.Log
}

// Feed keeps a board up to date, by reading or by listening to a reader.
type Feed struct {
	config Config
	reads  atomic.Bool // this node reads, so that others may listen to it
	chosen *choice     // of the view looked at last
}

// choice is who reads for the zone, as of one view.
type choice struct {
	view   *fleetview.View
	reader bool     // this node is a reader
	others []string // peer addresses of the other readers
}

// New returns a feed. Run starts it.
func New(c Config) *Feed {
	return &Feed{config: c}
}

// Run feeds the board until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	pause := settleTime
	for ctx.Err() == nil {
		link := f.read(ctx, pause)
		if link == nil {
			return
		}
		pause = retryPause
		if f.listen(ctx, link) {
			pause = 0 // this node has become a reader, or its reader no longer is one
		}
		link.close()
	}
}

// read reads the platform until another node that reads has been reached, and
// returns the link to it. It returns nil when ctx ends.
func (f *Feed) read(ctx context.Context, pause time.Duration) *link {
	reading, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	f.reads.Store(true)
	go func() {
		defer close(ended)
		f.config.Source.Run(reading, f.config.Directory)
	}()
	defer func() {
		f.reads.Store(false)
		cancel()
		<-ended
	}()
	wait.For(ctx, pause)
	for wait.For(ctx, dutyInterval) {
		c := f.choose()
		if c.reader || len(c.others) == 0 {
			continue
		}
		if l, err := dial(ctx, c.others[rand.N(len(c.others))]); err == nil {
			return l
		}
		wait.For(ctx, retryPause)
	}
	return nil
}

// choose returns who reads for this node's zone. It works that out once for a view.
func (f *Feed) choose() *choice {
	v := f.config.View.Load()
	if f.chosen == nil || f.chosen.view != v {
		f.chosen = f.choiceOf(v)
	}
	return f.chosen
}

func (f *Feed) choiceOf(v *fleetview.View) *choice {
	c := &choice{view: v}
	var zone []*fleetview.Member
	var hashes []uint64
	for _, m := range v.ByVM {
		if m.AvailabilityZone == f.config.AvailabilityZone && !m.Leaving {
			zone = append(zone, m)
			hashes = append(hashes, xxhash.Sum64String(m.VM))
		}
	}
	for _, i := range readers.Top(hashes, 0, readers.RelayCount(len(hashes))) {
		if zone[i].EndpointAddress == f.config.EndpointAddress {
			c.reader = true
			continue
		}
		c.others = append(c.others, zone[i].PeerAddress)
	}
	return c
}
