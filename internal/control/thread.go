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
	// lateAfter is the gap between two runs of the thread after which what it
	// knew counts as expired.
	lateAfter = 8 * tickInterval
)

// thread is the control thread: an actor that owns all control state. Its
// fields below the first group are used on the thread only.
type thread struct {
	Config
	ctx    context.Context
	system *actor.ActorSystem
	pid    *actor.PID
	group  sync.WaitGroup
	reads  metrics.Counter
	late   metrics.Counter

	now        time.Duration // time of the message being handled
	board      *board
	life       *blackboard.Writer[life]
	platform   *platformController
	adoption   *adoptionController
	membership *membershipController
	suspects   *suspectController
	peers      *peerController
	spread     *spreadController
	publisher  *publisher
	running    int             // links whose goroutines run
	stopped    bool            // nothing is decided any more
	flushed    chan<- struct{} // closed when the thread has stopped and all links have ended
}

func newThread(ctx context.Context, c Config) *thread {
	t := &thread{
		Config: c,
		ctx:    ctx,
		now:    c.Now(),
		board:  newBoard(),
		reads:  metrics.GetOrRegisterCounter("control.platform_reads", c.Registry),
		late:   metrics.GetOrRegisterCounter("control.late_wakeups", c.Registry),
	}
	t.life = t.board.life.Claim("control thread")
	t.life.Set(life{epoch: 1, since: t.now})
	t.platform = newPlatformController(t)
	t.adoption = newAdoptionController(t)
	t.membership = newMembershipController(t)
	t.suspects = newSuspectController(t)
	t.peers = newPeerController(t)
	t.spread = newSpreadController(t)
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

// post sends a message to the thread. It never blocks. The senders bound what
// waits: a link has a bound on its unhandled messages, a document one read, the
// clock one tick.
func (t *thread) post(message any) {
	t.system.Root.Send(t.pid, envelope{message: message})
}

// goDo runs f on a goroutine that Stop waits for.
func (t *thread) goDo(f func()) {
	t.group.Go(f)
}

// receive takes one message off the actor's queue.
func (t *thread) receive(c actor.Context) {
	posted, ok := c.Message().(envelope)
	if !ok {
		return // of the actor library itself
	}
	t.step(posted.message)
}

// step handles one message and then lets each controller act on what changed.
func (t *thread) step(message any) {
	if t.stopped {
		t.discard(message)
		return
	}
	t.advance()
	t.membership.clearNews()
	t.suspects.clearNews()
	t.handle(message)
	if t.stopped {
		return
	}
	t.peers.run()
	t.platform.run()
	t.adoption.run()
	t.membership.run()
	t.suspects.run()
	t.spread.run()
	t.publisher.run()
}

// advance takes the time, and begins a new epoch when the thread did not run for
// a while.
func (t *thread) advance() {
	before := t.now
	t.now = t.Now()
	if t.now-before < lateAfter {
		return
	}
	state := t.board.life.Get()
	state.epoch++
	state.since = t.now
	t.life.Set(state)
	t.late.Inc(1)
	t.Log.Emit(event.WakeupLate, "", event.F("gap", (t.now-before).String()))
}

// handle passes a message to the controller that it is for.
func (t *thread) handle(message any) {
	switch m := message.(type) {
	case tick:
	case readDone:
		t.platform.finish(m)
	case linkOpened:
		t.running++
		t.peers.opened(m.link)
	case linkRefused:
		t.peers.refused(m)
	case linkEnded:
		t.running--
		t.peers.ended(m)
	case linkMessage:
		t.peers.receive(m)
		m.link.MessageHandled()
	case documentBuilt:
		t.peers.built(m)
	case reported:
		t.membership.observe(m.report)
		t.suspects.observe(m.report)
	case leave:
		t.leave()
	case stop:
		t.stop(m.done)
	case statusWanted:
		m.reply <- t.status()
	case documentWanted:
		m.reply <- t.documentStatus(m.key)
	}
}

// stop tells the peers that the process ends and closes the links, which send
// what waits. done is closed when they have.
func (t *thread) stop(done chan<- struct{}) {
	t.membership.announceStop()
	t.spread.run()
	t.peers.closeAll()
	t.stopped, t.flushed = true, done
	t.checkFlushed()
}

// checkFlushed releases Stop when no link is left.
func (t *thread) checkFlushed() {
	if t.running == 0 && t.flushed != nil {
		close(t.flushed)
		t.flushed = nil
	}
}

// discard handles what still comes in after the thread has stopped.
func (t *thread) discard(message any) {
	switch m := message.(type) {
	case linkMessage:
		m.link.MessageHandled()
	case linkOpened:
		t.running++
		m.link.Close(nil)
	case linkEnded:
		t.running--
		t.checkFlushed()
	case statusWanted:
		m.reply <- t.status()
	case documentWanted:
		m.reply <- t.documentStatus(m.key)
	case stop:
		close(m.done)
	}
}

// leave begins the planned stop.
func (t *thread) leave() {
	state := t.board.life.Get()
	if state.leaving {
		return
	}
	state.leaving = true
	t.life.Set(state)
	t.membership.announceLeaving()
	t.Log.Emit(event.LeaveAnnounced, "", event.F("links", len(t.board.peers.Get().linked)))
}
