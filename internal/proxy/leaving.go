package proxy

import (
	"time"

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

// observeRun records the run that the platform lists. A later run of a leaving instance is
// not leaving.
func (s *endpointServer) observeRun(m *fleetview.Member) {
	s.listed = endpointRun{instance: m.EndpointInstance, startedMs: m.EndpointStartedMs}
	if s.leaving.instance == s.listed.instance && s.leaving.startedMs < s.listed.startedMs {
		s.leaving = endpointRun{}
	}
}

// leavesItself reports whether an instance has said in an answer that it is leaving.
func (s *endpointServer) leavesItself(instance string) bool {
	return instance != "" && s.leaving.instance == instance
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
