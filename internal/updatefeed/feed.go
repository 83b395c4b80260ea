// Package updatefeed reduces the load on the platform: a few nodes of each availability zone
// read it and send updates to the others over separate links. A node that receives nothing
// from its reader reads the platform itself, so that no node depends on another for long.
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
	// assignmentInterval is the time between two checks which nodes are readers.
	assignmentInterval = 250 * time.Millisecond
	// retryPause is the least time for which a node reads the platform itself after its reader
	// failed, and the wait after a failed dial to a reader. It keeps the cost of starting to
	// read again small compared with that of the reads.
	retryPause = 5 * time.Second
	// startupReadTime is how long a starting node reads the platform itself: nodes that start
	// together first have to discover each other.
	startupReadTime = 1500 * time.Millisecond
)

// Config configures a Feed.
type Config struct {
	// Directory receives the updates.
	Directory *discovery.Directory
	// Source reads the platform into a directory.
	Source discovery.Source
	// View holds the current endpoints.
	View *fleetview.Holder
	// AvailabilityZone is the node's availability zone.
	AvailabilityZone string
	// Times divides the time within which changes must be in force.
	Times readers.UpdateTimes
	// EndpointAddress is the IP address and port of the node's endpoint.
	EndpointAddress string
	// Log receives events.
	Log *event.Log
}

// Feed keeps a directory up to date, by reading the platform or by subscribing to a reader.
type Feed struct {
	config        Config
	readsPlatform atomic.Bool // this node reads the platform, so others may subscribe to it
	assigned      *assignment // for the latest view
}

// assignment is the set of readers of the zone, derived from one view.
type assignment struct {
	view         *fleetview.View
	isReader     bool     // this node is a reader
	otherReaders []string // peer addresses of the other readers
}

// New returns a feed. Run starts it.
func New(c Config) *Feed {
	return &Feed{config: c}
}

// Run updates the directory until ctx is done.
func (f *Feed) Run(ctx context.Context) {
	link, minReadTime := f.findReader(ctx), startupReadTime
	for ctx.Err() == nil {
		if link == nil {
			link = f.readUntilLinked(ctx, minReadTime)
		}
		if link == nil {
			return
		}
		minReadTime = retryPause
		if f.follow(ctx, link) {
			minReadTime = 0 // the reader did not fail
		}
		link.close()
		link = nil
	}
}

// readUntilLinked reads the platform for at least minReadTime, until a link to a reader is
// open, and returns the link. It returns nil when ctx is done.
func (f *Feed) readUntilLinked(ctx context.Context, minReadTime time.Duration) *readerLink {
	reading, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	f.readsPlatform.Store(true)
	go func() {
		defer close(ended)
		f.config.Source.Run(reading, f.config.Directory)
	}()
	defer func() {
		f.readsPlatform.Store(false)
		cancel()
		<-ended
	}()
	wait.For(ctx, minReadTime)
	for wait.For(ctx, assignmentInterval) {
		a := f.currentAssignment()
		if a.isReader || len(a.otherReaders) == 0 {
			continue
		}
		if l, err := dial(ctx, a.otherReaders[rand.N(len(a.otherReaders))]); err == nil {
			return l
		}
		wait.For(ctx, retryPause)
	}
	return nil
}

// currentAssignment returns the readers of this node's zone. It computes them once per view.
func (f *Feed) currentAssignment() *assignment {
	v := f.config.View.Load()
	if f.assigned == nil || f.assigned.view != v {
		f.assigned = f.assignmentOf(v)
	}
	return f.assigned
}

func (f *Feed) assignmentOf(v *fleetview.View) *assignment {
	a := &assignment{view: v}
	var zone []zoneNode
	for _, m := range v.ByVM {
		if m.AvailabilityZone == f.config.AvailabilityZone && !m.Leaving {
			zone = append(zone, zoneNode{vm: m.VM, endpointAddress: m.EndpointAddress, peerAddress: m.PeerAddress})
		}
	}
	for _, n := range rankNodes(zone, readers.RelayCount(len(zone))) {
		if n.endpointAddress == f.config.EndpointAddress {
			a.isReader = true
			continue
		}
		a.otherReaders = append(a.otherReaders, n.peerAddress)
	}
	return a
}

// zoneNode is a node of this node's zone.
type zoneNode struct {
	vm              string
	endpointAddress string
	peerAddress     string
}

// rankNodes returns the first count nodes in the order in which they become readers.
func rankNodes(zone []zoneNode, count int) []zoneNode {
	hashes := make([]uint64, 0, len(zone))
	for _, n := range zone {
		hashes = append(hashes, xxhash.Sum64String(n.vm))
	}
	ranked := make([]zoneNode, 0, count)
	for _, i := range readers.Top(hashes, 0, count) {
		ranked = append(ranked, zone[i])
	}
	return ranked
}
