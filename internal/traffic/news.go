package traffic

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/view"
)

const (
	// newsLifetime is the time for which a node can tell what a root request
	// broke.
	newsLifetime = time.Minute
	// newsMax bounds the root requests that a node can tell of.
	newsMax = 1024
)

// news remembers the endpoints lost to root requests that this node worked for.
// A node whose answer was lost is asked for them before the call is repeated.
type news struct {
	now func() time.Duration

	mu     sync.Mutex
	byRoot map[call.ID]item
}

// item is what one root request broke.
type item struct {
	losses  []call.Loss
	expires time.Duration
}

func newNews(now func() time.Duration) *news {
	return &news{now: now, byRoot: make(map[call.ID]item)}
}

// put remembers what a root request broke.
func (n *news) put(root call.ID, losses []call.Loss) {
	if len(losses) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.byRoot) >= newsMax {
		n.sweep()
	}
	if len(n.byRoot) < newsMax {
		n.byRoot[root] = item{losses: losses, expires: n.now() + newsLifetime}
	}
}

// of returns what a root request broke.
func (n *news) of(root call.ID) []call.Loss {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byRoot[root].losses
}

func (n *news) sweep() {
	now := n.now()
	for root, one := range n.byRoot {
		if now >= one.expires {
			delete(n.byRoot, root)
		}
	}
}

// askNews asks a node whose answer was lost which endpoints were lost to the
// root request. A node that can't be asked tells nothing.
func (t *Traffic) askNews(ctx context.Context, m *view.Member, o *outgoing) {
	ctx, cancel := context.WithTimeout(ctx, t.peers.silence)
	defer cancel()
	losses, err := t.peers.news(ctx, m.PeerAddress, o.root)
	if err != nil {
		return
	}
	for _, loss := range losses {
		t.suspects.lost(loss)
		o.losses.add(loss)
	}
}

// news asks the node at an address what a root request broke.
func (p *peers) news(ctx context.Context, address string, root call.ID) ([]call.Loss, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathNews, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	r.Header.Set(call.HeaderFleet, p.proof)
	if err := call.SetMeta(r.Header, &call.Meta{Root: root}); err != nil {
		return nil, err
	}
	response, err := p.link(address).transport.RoundTrip(r)
	if err != nil {
		return nil, errors.Wrap(err, "ask for losses")
	}
	if err := response.Body.Close(); err != nil {
		return nil, errors.Wrap(err, "ask for losses")
	}
	reply, err := call.GetReply(response.Header)
	if err != nil {
		return nil, err
	}
	return reply.Losses, nil
}

// serveNews tells another node what a root request broke.
func (t *Traffic) serveNews(w http.ResponseWriter, r *http.Request) {
	m, err := call.GetMeta(r.Header)
	if err != nil || !t.peers.trusts(r) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := call.SetReply(w.Header(), &call.Reply{Losses: t.news.of(m.Root)}); err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
