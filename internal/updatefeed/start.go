package updatefeed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/galenacart/galenacart/decision/readers"
	"github.com/galenacart/galenacart/internal/wait"
)

const (
	// startPoll is the time between two tries to subscribe of a node that has just started.
	startPoll = 100 * time.Millisecond
	// startListTimeout limits one list of the endpoints.
	startListTimeout = 500 * time.Millisecond
	// startDialTimeout limits the time to open a link to a reader that may be down.
	startDialTimeout = 200 * time.Millisecond
)

// startup is what a node that has just started knows of its zone.
type startup struct {
	feed        *Feed
	startedAt   time.Time
	random      float64
	ranked      []zoneNode // the zone's nodes by the last list, in the order of readers
	rank        int        // of this node
	listedAt    time.Time
	listedSince time.Time // when a list first named a node of the zone
}

// findReader finds a reader for a node that has just started and knows no other, and opens
// a link to it. It returns nil if this node has to read the platform.
func (f *Feed) findReader(ctx context.Context) *readerLink {
	s := &startup{feed: f, startedAt: time.Now(), random: rand.Float64()}
	for {
		if time.Since(s.listedAt) >= readers.StartStep && !s.list(ctx) {
			return nil // reading the platform repeats what failed, with pauses
		}
		switch c := s.conditions(); readers.NextStartAction(c) {
		case readers.StartRead:
			return nil
		case readers.StartSubscribe:
			if l := s.dialOne(ctx, readers.StartReaderCount(c.ListedFor, c.ZoneSize)); l != nil {
				return l
			}
		case readers.StartList:
		}
		if !wait.For(ctx, startPoll) {
			return nil
		}
	}
}

func (s *startup) conditions() readers.StartConditions {
	c := readers.StartConditions{Elapsed: time.Since(s.startedAt), Random: s.random, ZoneSize: len(s.ranked), Rank: s.rank}
	c.Serving = !s.feed.config.Directory.NeedsState()
	if len(s.ranked) > 0 {
		c.ListedFor = time.Since(s.listedSince)
	}
	return c
}

// list lists the nodes of the zone. It returns false if the platform doesn't respond.
func (s *startup) list(ctx context.Context) bool {
	config := &s.feed.config
	ctx, cancel := context.WithTimeout(ctx, startListTimeout)
	defer cancel()
	entries, err := config.Source.ListEndpoints(ctx, config.Directory)
	if err != nil {
		return false
	}
	s.listedAt = time.Now()
	var zone []zoneNode
	for _, e := range entries {
		address := config.Directory.PeerAddress(e.Address)
		if e.AvailabilityZone == config.AvailabilityZone && !e.Leaving && address != "" {
			zone = append(zone, zoneNode{vm: e.ID, endpointAddress: e.Address, peerAddress: address})
		}
	}
	if len(s.ranked) == 0 {
		s.listedSince = s.listedAt
	}
	s.ranked = rankNodes(zone, len(zone))
	s.rank = len(zone)
	for i, n := range s.ranked {
		if n.endpointAddress == config.EndpointAddress {
			s.rank = i
		}
	}
	return true
}

// dialOne opens a link to one of the first count nodes, or returns nil.
func (s *startup) dialOne(ctx context.Context, count int) *readerLink {
	ctx, cancel := context.WithTimeout(ctx, startDialTimeout)
	defer cancel()
	l, err := dial(ctx, s.ranked[rand.N(count)].peerAddress)
	if err != nil {
		return nil
	}
	return l
}
