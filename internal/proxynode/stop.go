package proxynode

import (
	"context"
	"time"

	"github.com/galenacart/galenacart/decision/stopping"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/wait"
)

// stopPollInterval is the interval between two checks of what is in flight.
const stopPollInterval = 20 * time.Millisecond

// shutDown performs the planned stop: the node is no longer ready, finishes what is in
// flight and closes. It reports whether nothing was aborted.
func (n *Node) shutDown(ctx context.Context) (clean bool) {
	begun := n.now()
	limit := n.config.Settings.Load().StopTimeoutDuration() // what was accepted relies on it, so a reload changes nothing
	n.log.Emit(event.NodeLeaving, "")
	n.shuttingDown.Store(true)
	n.clientServer.DisableKeepAlives()
	phase := stopping.Announcing
	for phase != stopping.Finished {
		wait.For(ctx, stopPollInterval)
		phase = max(phase, stopping.PhaseAt(n.now()-begun, limit, n.inFlight()))
		n.requestProxy.SetStop(stopping.At(phase, begun, limit))
		if phase >= stopping.Concluding {
			n.clientServer.InterruptBlocking()
		}
	}
	n.finishAccepted(ctx, stopping.At(phase, begun, limit))
	clean = n.inFlight() == 0
	_ = n.clientListener.Close() // no new clients are accepted
	n.clientServer.InterruptAll()
	n.clientServer.Close(stopping.WriteTimeout(limit))
	n.requestProxy.Close()
	for _, one := range n.internalServers {
		_ = one.server.Close() // in-flight work has ended or used up its time
	}
	return clean
}

// finishAccepted waits for requests that were accepted after the last look at what is in flight. Requests
// are refused from now on.
func (n *Node) finishAccepted(ctx context.Context, stop stopping.Stop) {
	n.requestProxy.SetStop(stop)
	for n.inFlight() > 0 && n.now() < stop.EndsAt {
		if !wait.For(ctx, stopPollInterval) {
			return
		}
	}
}

// inFlight counts the requests and calls without a response.
func (n *Node) inFlight() int {
	return n.clientServer.InFlight() + n.requestProxy.InFlight()
}
