package endpoint

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

// CrashExitCode is the exit code of a process that a call crashed.
const CrashExitCode = 70

// Options overrides parts of an endpoint for in-process tests. The zero value
// overrides nothing.
type Options struct {
	// Crash is called in place of exiting the process. The connection of the call is
	// then closed without a response.
	Crash func()
	// Dial opens the connections of child calls.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Endpoint is a stand-in for a back-end process.
type Endpoint struct {
	settings       *Settings
	options        Options
	truth          *truth.Log
	log            *event.Log
	slots          *slots
	gate           gate
	sampler        *sampler
	behaviour      atomic.Pointer[Behaviour]
	healthHistory  healthHistory
	client         *http.Client
	listener       atomic.Pointer[limitListener]
	lastLimitEvent atomic.Int64 // time of the last EndpointConnectionLimit, in seconds since 1970
}

// New returns an endpoint that records its calls in t.
func New(s *Settings, t *truth.Log, log *event.Log, o Options) *Endpoint {
	if o.Crash == nil {
		o.Crash = func() { os.Exit(CrashExitCode) }
	}
	e := &Endpoint{
		settings: s,
		options:  o,
		truth:    t,
		log:      log,
		sampler:  newSampler(s.Seed, s.ColdStart, time.Now()),
		client:   newClient(o.Dial),
	}
	e.slots = newSlots(s.Slots, s.QueueMax, e.recordHealth)
	e.behaviour.Store(&Behaviour{
		SlowFactor:         1,
		IgnoreCancellation: s.IgnoreCancellation,
		HealthReporting:    s.HealthReporting,
	})
	return e
}

// ChangeBehaviour changes the behaviour for later calls.
func (e *Endpoint) ChangeBehaviour(c BehaviourChange) {
	for {
		old := e.behaviour.Load()
		next := old.apply(c)
		if e.behaviour.CompareAndSwap(old, &next) {
			e.log.Emit(event.EndpointBehaviour, "", event.F("behaviour", next))
			return
		}
	}
}

// SilenceConnections makes all open connections permanently unresponsive and
// returns their number.
func (e *Endpoint) SilenceConnections() int {
	l := e.listener.Load()
	if l == nil {
		return 0
	}
	n := l.silence()
	e.log.Emit(event.EndpointSilenced, "", event.F("connections", n))
	return n
}

// Drain makes the endpoint refuse new calls. The returned channel is closed when no
// call is running or waiting.
func (e *Endpoint) Drain() <-chan struct{} {
	idle, first := e.gate.close()
	if first {
		e.truth.Add(truth.Record{Kind: truth.Draining})
		e.log.Emit(event.EndpointDraining, "")
		e.recordHealth()
	}
	return idle
}
