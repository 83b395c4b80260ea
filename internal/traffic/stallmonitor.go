package traffic

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/galenacart/galenacart/decision/stall"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/problem"
)

// pathPing is probed by other nodes before they send calls to this node again.
const pathPing = "/galenacart/ping"

// stallMonitor tracks whether the local endpoint responds.
type stallMonitor struct {
	now func() time.Duration

	mu       sync.Mutex
	stall    stall.Detector
	stalled  bool
	draining bool // as reported by the endpoint
}

func newStallMonitor(now func() time.Duration) *stallMonitor {
	return &stallMonitor{now: now}
}

func (m *stallMonitor) probesDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stall.ProbeDue(m.now())
}

func (m *stallMonitor) recordAnswer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stall.RecordAnswer(m.now())
}

// recordProbe records the result of a probe. changed is true when the endpoint has
// stalled or recovered.
func (m *stallMonitor) recordProbe(s probeResult) (stalled, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stall.RecordProbe(s.alive)
	m.draining = s.draining
	stalled = m.stall.Stalled()
	changed = stalled != m.stalled
	m.stalled = stalled
	return stalled, changed
}

func (m *stallMonitor) isStalled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stall.Stalled()
}

func (m *stallMonitor) isDraining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.draining
}

// startDueProbes starts the probes that are due: of the local endpoint, and of
// nodes that get no calls. Probes run in goroutines of their own and end by
// themselves.
func (t *Traffic) startDueProbes(ctx context.Context) {
	if t.stallMonitor.probesDue() {
		t.probes.Go(func() { t.probeEndpoint(ctx) })
	}
	v := t.config.View.Load()
	for name, vms := range t.targets.probesDue() {
		s := t.targets.serviceTargets(name)
		for _, vm := range vms {
			m := v.ByVM[vm]
			if m == nil {
				s.recordProbe(vm, false)
				continue
			}
			t.probes.Go(func() { t.probePeer(ctx, s, m) })
		}
	}
}

// probePeer pings a node that gets no calls and records whether it answers.
func (t *Traffic) probePeer(ctx context.Context, s *serviceTargets, m *fleetview.Member) {
	answered := t.ping(ctx, m)
	s.recordProbe(m.VM, answered)
	if answered {
		t.config.Reports.Send(fleetview.Report{Kind: fleetview.ReportPeerReachable, VM: m.VM})
	}
}

// probeEndpoint probes the local endpoint.
func (t *Traffic) probeEndpoint(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stall.ProbeTimeout)
	defer cancel()
	result := t.local.probeHealth(ctx)
	if result.keptSilent {
		t.abandonSilentConnections()
	}
	stalled, changed := t.stallMonitor.recordProbe(result)
	if !changed {
		return
	}
	if !stalled {
		t.config.Log.Emit(event.EndpointRecovered, "")
		return
	}
	t.config.Log.Emit(event.EndpointStalled, "")
	t.parents.cancelIdempotent()
}

// ping reports whether another node answers and accepts calls.
func (t *Traffic) ping(ctx context.Context, m *fleetview.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, t.peers.silenceTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.PeerAddress+pathPing, nil)
	if err != nil {
		return false
	}
	transport := t.peers.sender(m.PeerAddress).transport
	response, err := transport.RoundTrip(r)
	if err != nil {
		transport.CloseIdleConnections() // the next ping opens a new one
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusNoContent
}

// servePing answers pings of other nodes.
func (t *Traffic) servePing(w http.ResponseWriter, _ *http.Request) {
	if t.Leaving() {
		problem.Write(w, problem.New(problem.KindLeaving, problem.NotExecuted, "the node is stopping"), "")
		return
	}
	if t.stallMonitor.isStalled() {
		problem.Write(w, problem.New(problem.KindUnreachable, problem.NotExecuted, "the endpoint doesn't answer"), "")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// probesDue returns the VMs whose probe is due, by service.
func (t *targets) probesDue() map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[string][]string
	for name, s := range t.services {
		vms := s.probesDue()
		if len(vms) == 0 {
			continue
		}
		if out == nil {
			out = make(map[string][]string)
		}
		out[name] = vms
	}
	return out
}

func (s *serviceTargets) probesDue() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	out := s.router.DueProbes(now, nil)
	for vm, at := range s.leaving {
		if now >= at {
			s.leaving[vm] = now + leavingPingInterval
			out = append(out, vm)
		}
	}
	return out
}

func (s *serviceTargets) recordProbe(vm string, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.RecordProbe(s.now(), vm, answered)
	if answered {
		delete(s.leaving, vm)
	}
}
