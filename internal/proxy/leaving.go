package proxy

import (
	"time"

	"github.com/galenacart/galenacart/decision/draining"
	"github.com/galenacart/galenacart/internal/fleetview"
)

// endpointRun is one run of the local endpoint.
type endpointRun struct {
	instance  string // empty if unknown
	startedMs int64
}

// recordLeaving records that an answer of an instance said that it is leaving. It returns
// false if that was known.
func (s *endpointServer) recordLeaving(instance string) bool {
	if s.leaving.instance == instance {
		return false
	}
	s.leaving = endpointRun{instance: instance}
	if s.listed.instance == instance {
		s.leaving = s.listed
	}
	return true
}

// observeListed records what the platform lists of the local endpoint; m is nil if it lists
// nothing. An endpoint that is no longer listed is leaving as well. changedSince is the time
// after which the list changed.
func (s *endpointServer) observeListed(m *fleetview.Member, changedSince time.Duration) {
	if m == nil {
		if s.listed.instance != "" && !s.window.IsClosing() {
			s.window = draining.Closing(changedSince, s.config.Settings.DrainTimeDuration())
		}
		return
	}
	run := endpointRun{instance: m.EndpointInstance, startedMs: m.EndpointStartedMs}
	switch {
	case !m.Leaving:
		s.window = draining.Window{}
	case run != s.listed:
		s.window = draining.Closed() // it may have begun to leave long ago
	case !s.window.IsClosing():
		s.window = draining.Closing(changedSince, s.config.Settings.DrainTimeDuration())
	}
	s.listed = run
	if s.leaving.instance == run.instance && s.leaving.startedMs < run.startedMs {
		s.leaving = endpointRun{} // a later run is not leaving
	}
}

// returnWaiting returns the waiting calls to their senders that can't complete before the
// endpoint leaves or the node's planned stop ends.
func (s *endpointServer) returnWaiting() {
	w := s.callWindow(s.listed.instance)
	if w.IsClosing() {
		s.resumeWaiting(s.gate.Leave(s.config.Now(), w, s.releases[:0]))
	}
}

// callWindow returns the time in which an instance gets calls, also before the end of the node's
// planned stop.
func (s *endpointServer) callWindow(instance string) draining.Window {
	return s.windowOf(instance).And(s.stop().Window())
}

// windowOf returns the time in which an instance gets calls. One that has said in an answer
// that it is leaving gets none.
func (s *endpointServer) windowOf(instance string) draining.Window {
	switch {
	case instance == "":
		return draining.Window{}
	case s.leaving.instance == instance:
		return draining.Closed()
	case s.listed.instance == instance:
		return s.window
	default:
		return draining.Window{}
	}
}

// leftMemory is how long a node remembers endpoints that said they are leaving after the
// platform no longer names them. Entries may return while an endpoint still runs.
const leftMemory = 10 * time.Minute

// recordLeft records that a response of an endpoint said that it is leaving. No further call
// is sent to that run of it.
func (t *targets) recordLeft(m *fleetview.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(m.EndpointInstance)
	s.left, s.leftRunMs, s.leftAt = true, max(s.leftRunMs, m.EndpointStartedMs), t.now()
}

// hasLeft reports whether the run of an endpoint has said that it is leaving.
func (s *target) hasLeft(m *fleetview.Member) bool {
	return s.left && m.EndpointStartedMs <= s.leftRunMs
}
