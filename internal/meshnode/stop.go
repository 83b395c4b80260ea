package meshnode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/internal/event"
)

const (
	// noticeTime is the time from the first word of a planned stop in which the
	// platform, which asks once a second and believes two misses, takes clients
	// away from the node.
	noticeTime = 2500 * time.Millisecond
	// lendTime is the time from then in which the local endpoint still takes
	// calls of other nodes: its slots are missed until the next process is there.
	lendTime = 2200 * time.Millisecond
	// stopShare is the part of the time for a stop, in percent, after which the
	// node ends whatever is still in flight.
	stopShare = 85
	// idlePoll is the time between two looks at what is in flight.
	idlePoll = 20 * time.Millisecond
)

// stopState says whether a planned stop has begun.
type stopState struct {
	leaving atomic.Bool
}

func (s *stopState) begun() bool {
	return s.leaving.Load()
}

// leave ends the node as planned: it is no longer ready, finishes what is in
// flight, and closes. It reports whether nothing was cut off.
func (n *Node) leave(ctx context.Context) bool {
	begun := n.now()
	n.log.Emit(event.NodeLeaving, "")
	n.stop.leaving.Store(true)
	n.clients.Leave()
	sleep(ctx, lendTime)
	n.mesh.Leave()
	latest := begun + n.config.Settings.Load().StopTime()*stopShare/100
	clean := false
	for !clean && n.now() < latest {
		sleep(ctx, idlePoll)
		clean = n.now() >= begun+noticeTime && n.clients.Busy() == 0 && n.mesh.Busy() == 0
	}
	_ = n.door.Close() // no further client comes
	n.clients.Close()
	n.mesh.Close()
	for _, one := range n.pages {
		_ = one.server.Close() // what was in flight has ended or had its time
	}
	return clean
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
