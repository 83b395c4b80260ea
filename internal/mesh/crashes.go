package mesh

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenacart/galenacart/internal/calllink"
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
}

func newCrashes(now func() time.Duration, down func() bool) *crashes {
	return &crashes{now: now, down: down}
}

// broke takes in that the endpoint broke a call off. If it crashed, it returns the ID
// of the crash, which is the same for all calls that were broken off by it.
func (c *crashes) broke() (crash uint64, crashed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last != 0 && c.now()-c.at < crashSpan {
		return c.last, true
	}
	if !c.down() {
		return 0, false
	}
	c.last = rand.Uint64() | 1 // never 0
	c.at = c.now()
	return c.last, true
}

// fingerprint recognises a request by its content. Its ID and the VM where it began
// change when it is sent again.
func fingerprint(call *calllink.Call) uint64 {
	h := xxhash.New()
	for _, part := range []string{call.Method, call.Host, call.Target} {
		_, _ = h.WriteString(part) // a hash never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(call.Body)
	return h.Sum64()
}
