package traffic

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/galenacart/galenacart/internal/call"
)

// pathLosses tells a node of endpoints lost to calls that it could run.
const pathLosses = "/galenacart/losses"

const (
	// tellTimeout bounds the wait until the other nodes of a service know of a
	// lost endpoint. One that can't be reached learns of it by the peer links.
	tellTimeout = 250 * time.Millisecond
	// toldMax bounds the calls that one breakdown is told of, so that they fit
	// into a call's description.
	toldMax = 128
)

// tellLosses tells the other nodes of the local endpoint's service of the calls
// that may have broken it, and waits until they know.
func (t *Traffic) tellLosses(blamed []uint64) {
	m := &call.Meta{}
	for _, fingerprint := range blamed[:min(len(blamed), toldMax)] {
		m.EndpointLosses = append(m.EndpointLosses, t.suspects.losses(fingerprint))
	}
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	for _, one := range t.config.View.Load().ByService[t.config.Settings.Service] {
		if one.VM == t.config.Settings.VM {
			continue
		}
		group.Go(func() {
			_, _ = t.peers.ask(ctx, one.PeerAddress, pathLosses, m) // the peer links tell it as well
		})
	}
}

// serveLosses takes in what another node tells of lost endpoints.
func (t *Traffic) serveLosses(w http.ResponseWriter, r *http.Request) {
	m, err := call.GetMeta(r.Header)
	if err != nil || !t.peers.trusts(r) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, loss := range m.EndpointLosses {
		t.suspects.lost(loss)
	}
	w.WriteHeader(http.StatusNoContent)
}
