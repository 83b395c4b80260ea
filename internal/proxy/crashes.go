package proxy

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// crashWindow is the time within which calls broken off by the endpoint count as one
// crash. A crash closes all connections at once; a connection that breaks later was opened
// after a restart.
const crashWindow = 500 * time.Millisecond

// abandonedMax bounds the abandoned requests that are kept. An endpoint runs fewer at
// once.
const abandonedMax = 256

// crashDetector detects crashes of the local endpoint: the endpoint breaks calls off and
// accepts no connections any more.
type crashDetector struct {
	now    func() time.Duration
	isDown func() bool

	lastResponseAt atomic.Int64 // time of the endpoint's last response, in nanoseconds

	mu        sync.Mutex
	lastCrash uint64 // ID of the last crash, or 0
	crashedAt time.Duration
	foundUpAt time.Duration // when the endpoint last accepted a test connection
	abandoned []startedRequest
}

// startedRequest identifies a request that the endpoint may still be running.
// It does not hold the request itself, whose memory is released.
type startedRequest struct {
	requestID   string
	fingerprint uint64
	route       string
	runsUntil   time.Duration // when the endpoint stops working on it
	lossKnown   bool          // a loss of its content was known when it was handed over
}

func newCrashDetector(now func() time.Duration, isDown func() bool) *crashDetector {
	return &crashDetector{now: now, isDown: isDown, foundUpAt: -1}
}

// connectionBroken handles a call that the endpoint broke off. If the endpoint crashed, it
// returns the ID of the crash, which is the same for all calls of that crash.
func (c *crashDetector) connectionBroken() (crash uint64, crashed bool) {
	brokeAt := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastCrash != 0 && brokeAt-c.crashedAt < crashWindow {
		return c.lastCrash, true
	}
	if brokeAt <= c.foundUpAt {
		return 0, false // another call has found the endpoint up since
	}
	checkedAt := c.now()
	if !c.isDown() {
		c.foundUpAt = checkedAt
		return 0, false
	}
	c.startCrash(brokeAt)
	return c.lastCrash, true
}

// connectionRefused handles a connection attempt that found no listener at the endpoint's
// address. If the endpoint may have crashed while running abandoned requests, it returns
// the ID of the crash.
func (c *crashDetector) connectionRefused() (crash uint64, crashed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if len(c.abandoned) == 0 {
		return 0, false
	}
	if c.lastCrash == 0 || now-c.crashedAt >= crashWindow {
		c.startCrash(now)
	}
	return c.lastCrash, true
}

// startCrash assigns an ID to a new crash. The caller holds the lock.
func (c *crashDetector) startCrash(crashedAt time.Duration) {
	c.lastCrash = rand.Uint64() | 1 // never 0; the other values have a meaning on the wire of links
	c.crashedAt = crashedAt
}

// recordAbandoned records a request whose sender gave up before the endpoint responded.
func (c *crashDetector) recordAbandoned(one startedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = slices.DeleteFunc(c.abandoned, c.endedBeforeResponse)
	if len(c.abandoned) < abandonedMax {
		c.abandoned = append(c.abandoned, one)
	}
}

// takeAbandoned removes and returns the abandoned requests that the endpoint may have been
// running when it crashed.
func (c *crashDetector) takeAbandoned() []startedRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	abandoned := c.abandoned
	c.abandoned = nil
	return slices.DeleteFunc(abandoned, c.endedBeforeResponse)
}

// endedBeforeResponse reports whether the endpoint had stopped working on a request before
// its last response to any call, so that a crash can't be due to it.
func (c *crashDetector) endedBeforeResponse(one startedRequest) bool {
	return one.runsUntil <= time.Duration(c.lastResponseAt.Load())
}

// recordResponse records the time of the endpoint's latest response.
func (c *crashDetector) recordResponse() {
	c.lastResponseAt.Store(int64(c.now()))
}
