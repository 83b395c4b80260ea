package traffic

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/internal/event"
)

// pathHealth is the endpoint's health page. Any answer, of whatever status and
// content, proves that the endpoint works.
const pathHealth = "/-/health"

const (
	// healthBytesMax bounds what is read of the health page.
	healthBytesMax = 4 << 10
	// freshAfter is the time after which a probe without an answer is sent on a
	// fresh connection as well.
	freshAfter = 150 * time.Millisecond
	// keptGrace is the time that the kept connection has to answer once the
	// fresh one has: after a pause of the endpoint both answer.
	keptGrace = 100 * time.Millisecond
)

// sign is what a probe of the endpoint showed.
type sign struct {
	alive    bool
	answered bool
	draining bool
	silent   bool // a kept connection is silent, a fresh one answers
}

// health is the part of the endpoint's health page that is believed. It may lag
// behind or be wrong about everything else, but an endpoint that says it drains
// refuses work soon.
type health struct {
	Draining bool `json:"draining"`
}

// ask asks the endpoint for a sign of life on a connection that is kept open
// for it, and on a fresh one when that stays silent.
func (e *endpoint) ask(ctx context.Context) sign {
	e.ear.listen()
	kept := make(chan sign, 1)
	go func() { kept <- e.askOver(ctx, e.probe) }()
	if one, ok := signWithin(kept, freshAfter); ok {
		return one
	}
	fresh := e.askOver(ctx, e.fresh)
	if !fresh.answered {
		return fresh
	}
	if one, ok := signWithin(kept, keptGrace); ok && one.alive {
		return one
	}
	fresh.silent = true
	return fresh
}

// signWithin waits for a sign for at most a time.
func signWithin(signs <-chan sign, longest time.Duration) (one sign, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), longest)
	defer cancel()
	select {
	case one = <-signs:
		return one, true
	case <-ctx.Done():
		return sign{}, false
	}
}

// askOver asks for a sign of life. A refused connection is one: nothing hangs
// then.
func (e *endpoint) askOver(ctx context.Context, over *http.Transport) sign {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.address+pathHealth, nil)
	if err != nil {
		return sign{alive: true}
	}
	response, err := over.RoundTrip(r)
	if err != nil {
		return sign{alive: ctx.Err() == nil}
	}
	defer func() { _ = response.Body.Close() }() // read as far as it is of use
	var h health
	if err := json.NewDecoder(io.LimitReader(response.Body, healthBytesMax)).Decode(&h); err != nil {
		return sign{alive: true, answered: true}
	}
	return sign{alive: true, answered: true, draining: h.Draining}
}

// leaveSilent moves calls off connections to the endpoint that have gone
// silent. Idle ones are dropped. Idempotent calls in flight are run elsewhere,
// unless any older connection brought something since the probe began: then
// the others may just be slow. Other calls wait, because they may still end.
func (t *Traffic) leaveSilent() {
	t.config.Log.Emit(event.ConnectionSilent, "", event.F("vm", t.config.Settings.VM))
	t.local.link.transport.CloseIdleConnections()
	if !t.local.ear.heard.Load() {
		t.parents.abandonIdempotent()
	}
}

// ear tells whether anything came on older connections to the endpoint.
type ear struct {
	round atomic.Int64 // counts the probes
	heard atomic.Bool
}

// listen begins to listen to the connections that are open now.
func (e *ear) listen() {
	e.heard.Store(false)
	e.round.Add(1)
}

// on returns a DialFunc whose connections the ear listens to.
func (e *ear) on(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &heardConn{Conn: conn, ear: e, round: e.round.Load()}, nil
	}
}

// heardConn is a connection that an ear listens to.
type heardConn struct {
	net.Conn
	ear   *ear
	round int64 // the probes before it was opened
}

// Read tells the ear of what came on an older connection.
func (c *heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.round < c.ear.round.Load() {
		c.ear.heard.Store(true)
	}
	return n, err
}
