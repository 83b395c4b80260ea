package traffic

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/suspect"
	"github.com/galenacart/galenacart/internal/call"
)

// pathGrant is requested before a call is retried after an attempt that may have
// crashed an endpoint.
const pathGrant = "/galenacart/grant"

// grantAttemptsMax bounds the requests for one grant to the origin of a root
// request. An idle connection to it may be dead.
const grantAttemptsMax = 2

// origin identifies the process of the node at which a root request entered.
type origin struct {
	vm          string
	incarnation uint64
}

// grants holds the grants issued for the root requests that entered at this node.
type grants struct {
	now func() time.Duration

	mu    sync.Mutex
	table *suspect.Grants
}

func newGrants(now func() time.Duration) *grants {
	return &grants{now: now, table: suspect.NewGrants()}
}

// confirm reports whether the one further run of a call is granted to holder.
func (g *grants) confirm(root call.ID, fingerprint uint64, holder call.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := suspect.Call{Root: suspect.ID(root), Fingerprint: fingerprint}
	return g.table.Grant(g.now(), c, suspect.ID(holder))
}

// grantState is the state of the single grant that a call may obtain.
type grantState uint8

const (
	grantNone grantState = iota
	grantHeld
	grantSpent
)

// mayRun reports whether the next attempt of a call may run. It always may until
// an attempt of the root request may have crashed an endpoint. From then on the
// origin grants one more run of each call.
func (t *Traffic) mayRun(ctx context.Context, o *outgoing) bool {
	if !o.losses.hasPossibleCrash() {
		return true
	}
	if o.grantState == grantNone {
		o.grantState = grantSpent
		if t.requestGrant(ctx, o) {
			o.grantState = grantHeld
		}
	}
	return o.grantState == grantHeld
}

// requestGrant asks the origin of the root request for another run. An
// unreachable origin counts as a denial.
func (t *Traffic) requestGrant(ctx context.Context, o *outgoing) bool {
	holder := newID()
	if o.origin == t.self() {
		return t.grants.confirm(o.root, o.request.fingerprint, holder)
	}
	m := t.config.View.Load().ByVM[o.origin.vm]
	if m == nil {
		return false
	}
	meta := &call.Meta{
		Attempt:           holder,
		Root:              o.root,
		Fingerprint:       o.request.fingerprint,
		OriginIncarnation: o.origin.incarnation,
	}
	for range grantAttemptsMax {
		granted, err := t.peers.confirm(ctx, m.PeerAddress, pathGrant, meta)
		if err == nil {
			return granted
		}
	}
	return false
}

// self returns this process as the origin of a root request.
func (t *Traffic) self() origin {
	return origin{vm: t.config.Settings.VM, incarnation: t.config.Incarnation}
}

// confirm sends a request with metadata m to the node at an address and reports
// whether the node confirmed it.
func (p *peers) confirm(ctx context.Context, address, path string, m *call.Meta) (bool, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return false, errors.Wrap(err, "build request")
	}
	r.Header.Set(call.HeaderFleetProof, p.proof)
	if err := call.SetMeta(r.Header, m); err != nil {
		return false, err
	}
	response, err := p.sender(address).send(ctx, r, cancel)
	if err != nil {
		return false, err
	}
	if err := response.Body.Close(); err != nil {
		return false, errors.Wrap(err, "query node")
	}
	return response.StatusCode == http.StatusNoContent, nil
}

// serveGrant serves another node's request for a grant.
func (t *Traffic) serveGrant(w http.ResponseWriter, r *http.Request) {
	m, err := call.GetMeta(r.Header)
	switch {
	case err != nil || !t.peers.authenticates(r):
		w.WriteHeader(http.StatusBadRequest)
	case m.OriginIncarnation != t.config.Incarnation || !t.grants.confirm(m.Root, m.Fingerprint, m.Attempt):
		w.WriteHeader(http.StatusForbidden)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
