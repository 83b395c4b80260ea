package mesh

import (
	"math/rand/v2"
	"sync"
	"time"
)

// crashSpan is the time within which calls that the endpoint breaks off belong to one
// crash. All its connections end at the same moment; one that breaks later was opened
// after a new start.
const crashSpan = 500 * time.Millisecond

// crashes recognises crashes of the local endpoint: it breaks calls off and takes no
// connections any more.
type crashes struct {
	now  func() time.Duration
	down func() bool

	mu   sync.Mutex
	last uint64 // ID of the last crash, or 0
	at   time.Duration
	upAt time.Duration // the endpoint was found to take connections
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
	c.last = rand.Uint64() | 1 // never 0
	c.at = brokeAt
	return c.last, true
}
