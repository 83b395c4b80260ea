package proxynode

import (
	"context"
	"time"

	"github.com/galenacart/galenacart/decision/stopping"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/wait"
)

// stopPoll is the time between two looks at what is in flight.
const stopPoll = 20 * time.Millisecond

// closePatience is the time in which requests that were taken at the very end get their
// answer: these are refused, which takes no time.
const closePatience = 100 * time.Millisecond

// leave ends the node as planned: it is no longer ready, finishes what is in
// flight, and closes. It reports whether nothing was cut off.
func (n *Node) leave(ctx context.Context) (clean bool) {
	begun := n.now()
	n.log.Emit(event.NodeLeaving, "")
	n.leaving.Store(true)
	n.clients.DisableKeepAlives()
	phase := stopping.Announcing
	for phase != stopping.Finished {
		wait.For(ctx, stopPoll)
		phase = max(phase, stopping.PhaseAt(n.now()-begun, n.config.Settings.Load().StopTimeoutDuration(), n.outstanding()))
		n.mesh.SetStopPhase(phase)
	}
	clean = n.outstanding() == 0
	_ = n.door.Close() // no further client comes
	if clean {
		n.clients.Close(closePatience)
	} else {
		n.clients.Close(0) // the time for the stop is over
	}
	n.mesh.Close()
	for _, one := range n.pages {
		_ = one.server.Close() // what was in flight has ended or had its time
	}
	return clean
}

// outstanding counts the requests and calls that wait for their answer.
func (n *Node) outstanding() int {
	return n.clients.InFlight() + n.mesh.InFlight()
}
