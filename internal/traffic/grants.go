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

// pathGrant is asked before a call runs once more after an attempt that may
// have broken an endpoint.
const pathGrant = "/galenacart/grant"

// grantTries bounds how often the origin of a root request is asked for one
// grant. A connection to it may have gone silent.
const grantTries = 2

// origin is the process of a node where a root request entered.
type origin struct {
	vm          string
	incarnation uint64
}

// grants holds the grants of the root requests that entered here.
type grants struct {
	now func() time.Duration

	mu    sync.Mutex
	table *suspect.Grants
}

func newGrants(now func() time.Duration) *grants {
	return &grants{now: now, table: suspect.NewGrants()}
}

func (g *grants) ask(root call.ID, fingerprint uint64, holder call.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := suspect.Call{Root: suspect.ID(root), Fingerprint: fingerprint}
	return g.table.Grant(g.now(), c, suspect.ID(holder))
}

// permit is what a call holds of the one grant for its content.
type permit uint8

const (
	permitNone permit = iota
	permitHeld
	permitSpent
)

// mayRun reports whether the next attempt of a call may run. As long as no
// attempt of the root request may have broken an endpoint it always may.
// Afterwards the origin grants one more run of each call.
func (t *Traffic) mayRun(ctx context.Context, o *outgoing) bool {
	if !o.losses.inDoubt() {
		return true
	}
	if o.permit == permitNone {
		o.permit = permitSpent
		if t.askGrant(ctx, o) {
			o.permit = permitHeld
		}
	}
	return o.permit == permitHeld
}

// askGrant asks the origin of the root request for a further run. An origin
// that can't be asked grants nothing.
func (t *Traffic) askGrant(ctx context.Context, o *outgoing) bool {
	holder := newID()
	if o.origin == t.self() {
		return t.grants.ask(o.root, o.request.fingerprint, holder)
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
	for range grantTries {
		granted, err := t.peers.ask(ctx, m.PeerAddress, pathGrant, meta)
		if err == nil {
			return granted
		}
	}
	return false
}

// self names this process as the origin of a root request.
func (t *Traffic) self() origin {
	return origin{vm: t.config.Settings.VM, incarnation: t.config.Incarnation}
}

// ask asks the node at an address something that it affirms or not.
func (p *peers) ask(ctx context.Context, address, path string, m *call.Meta) (bool, error) {
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
	response, err := p.link(address).send(ctx, r, cancel)
	if err != nil {
		return false, err
	}
	if err := response.Body.Close(); err != nil {
		return false, errors.Wrap(err, "ask node")
	}
	return response.StatusCode == http.StatusNoContent, nil
}

// serveGrant answers a node that asks for a further run.
func (t *Traffic) serveGrant(w http.ResponseWriter, r *http.Request) {
	m, err := call.GetMeta(r.Header)
	switch {
	case err != nil || !t.peers.trusts(r):
		w.WriteHeader(http.StatusBadRequest)
	case m.OriginIncarnation != t.config.Incarnation || !t.grants.ask(m.Root, m.Fingerprint, m.Attempt):
		w.WriteHeader(http.StatusForbidden)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
