package proxy

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/internal/message"
)

// crashSpan is the time within which calls that the endpoint breaks off belong to one
// crash. All its connections end at the same moment; one that breaks later was opened
// after a new start.
const crashSpan = 500 * time.Millisecond

// leftMax bounds the requests without a client that are remembered; an endpoint runs
// fewer at once.
const leftMax = 256

// crashes recognises crashes of the local endpoint: it breaks calls off and takes no
// connections any more.
type crashes struct {
	now  func() time.Duration
	down func() bool

	alive atomic.Int64 // when the endpoint was last heard, in nanoseconds

	mu   sync.Mutex
	last uint64 // ID of the last crash, or 0
	at   time.Duration
	upAt time.Duration // the endpoint was found to take connections
	left []leftRequest
}

// leftRequest is a request that was given up and that the endpoint may still run.
type leftRequest struct {
	request *message.Request
	route   string
	until   time.Duration // the endpoint stops work on it
}

func newCrashes(now func() time.Duration, down func() bool) *crashes {
	return &crashes{now: now, down: down, upAt: -1}
}

// broke takes in that the endpoint broke a call off. If it crashed, it returns the ID
// of the crash, which is the same for all calls that were broken off by it.
func (c *crashes) broke() (crash uint64, crashed bool) {
	brokeAt := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last != 0 && brokeAt-c.at < crashSpan {
		return c.last, true
	}
	if brokeAt <= c.upAt {
		return 0, false // another call has found it up since
	}
	looked := c.now()
	if !c.down() {
		c.upAt = looked
		return 0, false
	}
	c.begin(brokeAt)
	return c.last, true
}

// gone takes in that nothing listens at the endpoint's address. If it may have crashed
// under requests that were given up, it returns the ID of the crash.
func (c *crashes) gone() (crash uint64, crashed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if len(c.left) == 0 {
		return 0, false
	}
	if c.last == 0 || now-c.at >= crashSpan {
		c.begin(now)
	}
	return c.last, true
}

// begin takes in a crash. It is called under the lock.
func (c *crashes) begin(at time.Duration) {
	c.last = rand.Uint64() | 1 // never 0
	c.at = at
}

// leave takes in a request that was given up before the endpoint answered.
func (c *crashes) leave(r *message.Request, route string, until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = slices.DeleteFunc(c.left, c.outlived)
	if len(c.left) < leftMax {
		c.left = append(c.left, leftRequest{request: r, route: route, until: until})
	}
}

// takeLeft returns the requests that the endpoint may have run without a client when it
// crashed, and forgets them.
func (c *crashes) takeLeft() []leftRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := c.left
	c.left = nil
	return slices.DeleteFunc(left, c.outlived)
}

// outlived reports whether the endpoint was heard after it had stopped work on a request.
func (c *crashes) outlived(one leftRequest) bool {
	return one.until <= time.Duration(c.alive.Load())
}

// answered takes in that the endpoint is there.
func (c *crashes) answered() {
	c.alive.Store(int64(c.now()))
}
