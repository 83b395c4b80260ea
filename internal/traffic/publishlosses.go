package traffic

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/galenacart/galenacart/internal/call"
)

// pathLosses is the path at which a node receives reports of endpoint losses.
const pathLosses = "/galenacart/losses"

const (
	// publishLossesTimeout bounds the time to inform the other nodes of a service
	// of a lost endpoint. Unreachable nodes receive the report over peer links.
	publishLossesTimeout = 250 * time.Millisecond
	// publishedLossesMax bounds the suspect calls published for one crash, so that
	// they fit into a call's metadata.
	publishedLossesMax = 128
)

// publishLosses reports the calls that may have crashed the local endpoint to the
// other nodes of its service and waits for their responses.
func (t *Traffic) publishLosses(suspected []uint64) {
	m := &call.Meta{}
	for _, fingerprint := range suspected[:min(len(suspected), publishedLossesMax)] {
		m.EndpointLosses = append(m.EndpointLosses, t.suspects.losses(fingerprint))
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishLossesTimeout)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	for _, member := range t.config.View.Load().ByService[t.config.Settings.Service] {
		if member.VM == t.config.Settings.VM {
			continue
		}
		group.Go(func() {
			_, _ = t.peers.confirm(ctx, member.PeerAddress, pathLosses, m) // also reported over peer links
		})
	}
}

// serveLosses records the endpoint losses that another node reports.
func (t *Traffic) serveLosses(w http.ResponseWriter, r *http.Request) {
	m, err := call.GetMeta(r.Header)
	if err != nil || !t.peers.authenticates(r) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, loss := range m.EndpointLosses {
		t.suspects.merge(loss)
	}
	w.WriteHeader(http.StatusNoContent)
}
