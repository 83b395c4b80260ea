package control

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rcrowley/go-metrics"

	"github.com/galenacart/galenacart/internal/blackboard"
	"github.com/galenacart/galenacart/internal/event"
)

const (
	// tickInterval is the time between two ticks of the control thread.
	tickInterval = 250 * time.Millisecond
	// lateWakeupGap is the time between two runs of the thread after which its
	// state counts as expired.
	lateWakeupGap = 8 * tickInterval
)

// thread is the control thread: an actor that owns all control state. Its
// fields below the first group are used on the thread only, except for
// peers.transport, which other goroutines also use.
type thread struct {
	Config
	ctx           context.Context
	system        *actor.ActorSystem
	pid           *actor.PID
	group         sync.WaitGroup
	platformReads metrics.Counter
	lateWakeups   metrics.Counter

	now           time.Duration // time of the message being handled
	board         *board
	processWriter *blackboard.Writer[process]
	platform      *platformController
	adoption      *adoptionController
	membership    *membershipController
	suspects      *suspectController
	peers         *peerController
	gossip        *gossipController
	publisher     *publisher
	runningLinks  int             // links whose goroutines run
	stopped       bool            // the controllers no longer run
	flushed       chan<- struct{} // closed when the thread has stopped and all links have ended
}

func newThread(ctx context.Context, c Config) *thread {
	t := &thread{
		Config:        c,
		ctx:           ctx,
		now:           c.Now(),
		board:         newBoard(),
		platformReads: metrics.GetOrRegisterCounter("control.platform_reads", c.Registry),
		lateWakeups:   metrics.GetOrRegisterCounter("control.late_wakeups", c.Registry),
	}
	t.processWriter = t.board.process.Claim("control thread")
	t.processWriter.Set(process{epoch: 1, since: t.now})
	t.platform = newPlatformController(t)
	t.adoption = newAdoptionController(t)
	t.membership = newMembershipController(t)
	t.suspects = newSuspectController(t)
	t.peers = newPeerController(t)
	t.gossip = newGossipController(t)
	t.publisher = newPublisher(t)
	return t
}

// start spawns the actor.
func (t *thread) start() {
	t.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
	t.pid = t.system.Root.Spawn(actor.PropsFromFunc(t.receive))
}

// post sends a message to the thread. It never blocks. The queue is bounded by
// the senders: a link limits its unhandled messages, a document has one read in
// flight, and ticks are posted at fixed intervals and once per forward round.
func (t *thread) post(message any) {
	t.system.Root.Send(t.pid, envelope{message: message})
}

// goTracked runs f on a goroutine for which Stop waits.
func (t *thread) goTracked(f func()) {
	t.group.Go(f)
}

// receive handles one message of the actor's queue.
func (t *thread) receive(c actor.Context) {
	posted, ok := c.Message().(envelope)
	if !ok {
		return // a message of the actor library
	}
	t.processMessage(posted.message)
}

// processMessage handles one message and then runs each controller.
func (t *thread) processMessage(message any) {
	if t.stopped {
		t.discard(message)
		return
	}
	t.advanceClock()
	t.membership.clearUpdates()
	t.suspects.clearUpdates()
	t.handle(message)
	if t.stopped {
		return
	}
	t.peers.run()
	t.platform.run()
	t.adoption.run()
	t.membership.run()
	t.suspects.run()
	t.gossip.run()
	t.publisher.run()
}

// advanceClock updates the time, and begins a new epoch if the thread has not run
// for lateWakeupGap.
func (t *thread) advanceClock() {
	before := t.now
	t.now = t.Now()
	if t.now-before < lateWakeupGap {
		return
	}
	state := t.board.process.Get()
	state.epoch++
	state.since = t.now
	t.processWriter.Set(state)
	t.lateWakeups.Inc(1)
	t.Log.Emit(event.WakeupLate, "", event.F("gap", (t.now-before).String()))
}

// handle dispatches a message to its controller.
func (t *thread) handle(message any) {
	switch m := message.(type) {
	case tick:
	case readDone:
		t.platform.handleResult(m)
	case linkOpened:
		t.runningLinks++
		t.peers.addLink(m.link)
	case linkFailed:
		t.peers.handleLinkFailure(m)
	case linkEnded:
		t.runningLinks--
		t.peers.removeLink(m)
	case linkMessage:
		t.peers.receive(m)
		m.link.MessageHandled()
	case documentBuilt:
		t.peers.offerDocument(m)
	case trafficReport:
		t.membership.observe(m.report)
		t.suspects.observe(m.report)
	case leave:
		t.leave()
	case stop:
		t.stop(m.done)
	case statusRequest:
		m.reply <- t.status()
	case documentRequest:
		m.reply <- t.documentStatus(m.key)
	}
}

// stop announces the end of the process to the peers and closes the links, which
// first send their queued messages. done is closed when all links have ended.
func (t *thread) stop(done chan<- struct{}) {
	t.membership.announceStop()
	t.gossip.run()
	t.peers.closeAll()
	t.stopped, t.flushed = true, done
	t.checkFlushed()
}

// checkFlushed signals Stop when no link is left.
func (t *thread) checkFlushed() {
	if t.runningLinks == 0 && t.flushed != nil {
		close(t.flushed)
		t.flushed = nil
	}
}

// discard handles messages that arrive after the thread has stopped.
func (t *thread) discard(message any) {
	switch m := message.(type) {
	case linkMessage:
		m.link.MessageHandled()
	case linkOpened:
		t.runningLinks++
		m.link.Close(nil)
	case linkEnded:
		t.runningLinks--
		t.checkFlushed()
	case statusRequest:
		m.reply <- t.status()
	case documentRequest:
		m.reply <- t.documentStatus(m.key)
	case stop:
		close(m.done)
	}
}

// leave begins the planned stop.
func (t *thread) leave() {
	state := t.board.process.Get()
	if state.leaving {
		return
	}
	state.leaving = true
	t.processWriter.Set(state)
	t.membership.announceLeaving()
	t.Log.Emit(event.LeaveAnnounced, "", event.F("links", len(t.board.peers.Get().linked)))
}
