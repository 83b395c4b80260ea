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
	// fallbackDials is the number of readers that a node which can't read the platform dials
	// before it pauses. They may be unable too, so the pause grows from fallbackPauseMin to
	// retryPause.
	fallbackDials    = 3
	fallbackPauseMin = time.Second
	// fallbackTime is how long such a node follows another one before it reads the platform
	// again.
	fallbackTime = 5 * time.Second
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
	subscribeAt, fallbackPause := f.config.Directory.Now()+minReadTime, fallbackPauseMin
	for wait.For(ctx, assignmentInterval) {
		var link *readerLink
		switch {
		case f.config.Directory.StateAge() > f.config.Times.AgeMax:
			link = f.dialOneOf(ctx, f.readersOfAllZones(), fallbackDials, fallbackPause)
			fallbackPause = min(2*fallbackPause, retryPause)
			if link != nil {
				link.followUntil = f.config.Directory.Now() + fallbackTime
			}
		case f.config.Directory.Now() >= subscribeAt && !f.currentAssignment().isReader:
			link = f.dialOneOf(ctx, f.currentAssignment().otherReaders, 1, retryPause)
		}
		if link != nil {
			return link
		}
	}
	return nil
}

// dialOneOf opens a link to one of the addresses, after at most so many dials. It returns nil,
// after a pause, if all of them fail.
func (f *Feed) dialOneOf(ctx context.Context, addresses []string, dials int, pause time.Duration) *readerLink {
	if len(addresses) == 0 {
		return nil
	}
	for _, i := range rand.Perm(len(addresses))[:min(dials, len(addresses))] {
		if l, err := dial(ctx, addresses[i]); err == nil {
			return l
		}
	}
	wait.For(ctx, pause)
	return nil
}

// readersOfAllZones returns the peer addresses of the readers, for a node that can't read the
// platform: other nodes of its zone may be unable too.
func (f *Feed) readersOfAllZones() []string {
	zones := make(map[string][]zoneNode)
	for _, m := range f.config.View.Load().ByVM {
		if !m.Leaving && m.EndpointAddress != f.config.EndpointAddress {
			zones[m.AvailabilityZone] = append(zones[m.AvailabilityZone], zoneNodeOf(m))
		}
	}
	var addresses []string
	for _, zone := range zones {
		for _, n := range rankNodes(zone, readers.RelayCount(len(zone))) {
			addresses = append(addresses, n.peerAddress)
		}
	}
	return addresses
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
			zone = append(zone, zoneNodeOf(m))
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

// zoneNode is a node of an availability zone.
type zoneNode struct {
	vm              string
	endpointAddress string
	peerAddress     string
}

func zoneNodeOf(m *fleetview.Member) zoneNode {
	return zoneNode{vm: m.VM, endpointAddress: m.EndpointAddress, peerAddress: m.PeerAddress}
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
