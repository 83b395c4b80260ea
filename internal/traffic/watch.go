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

// pathPing is asked by other nodes before they send calls again.
const pathPing = "/galenacart/ping"

// watch follows the local endpoint's signs of life.
type watch struct {
	now func() time.Duration

	mu       sync.Mutex
	stall    stall.Detector
	stalled  bool
	draining bool // by the endpoint's own word
}

func newWatch(now func() time.Duration) *watch {
	return &watch{now: now}
}

func (w *watch) due() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stall.ProbeDue(w.now())
}

func (w *watch) answered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stall.RecordAnswer(w.now())
}

// probed takes in a probe's end. changed is true when the endpoint stalled or
// came back.
func (w *watch) probed(s sign) (stalled, changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stall.RecordProbe(s.alive)
	w.draining = s.draining
	stalled = w.stall.Stalled()
	changed = stalled != w.stalled
	w.stalled = stalled
	return stalled, changed
}

func (w *watch) isStalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stall.Stalled()
}

func (w *watch) isDraining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining
}

// look sends the probes that are due: to the local endpoint, and to nodes that
// were set aside. Probes run beside the caller and end by themselves.
func (t *Traffic) look(ctx context.Context) {
	if t.watch.due() {
		t.probes.Go(func() { t.probeEndpoint(ctx) })
	}
	v := t.config.View.Load()
	for name, vms := range t.targets.due() {
		s := t.targets.service(name)
		for _, vm := range vms {
			m := v.ByVM[vm]
			if m == nil {
				s.probed(vm, false)
				continue
			}
			t.probes.Go(func() { t.probePeer(ctx, s, m) })
		}
	}
}

// probePeer asks a node that was set aside whether it answers again.
func (t *Traffic) probePeer(ctx context.Context, s *service, m *fleetview.Member) {
	answered := t.ping(ctx, m)
	s.probed(m.VM, answered)
	if answered {
		t.config.Reports.Send(fleetview.Report{Kind: fleetview.ReportPeerReachable, VM: m.VM})
	}
}

// probeEndpoint asks the local endpoint for a sign of life.
func (t *Traffic) probeEndpoint(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stall.ProbeTimeout)
	defer cancel()
	one := t.local.ask(ctx)
	if one.silent {
		t.leaveSilent()
	}
	stalled, changed := t.watch.probed(one)
	if !changed {
		return
	}
	if !stalled {
		t.config.Log.Emit(event.EndpointRecovered, "")
		return
	}
	t.config.Log.Emit(event.EndpointStalled, "")
	t.parents.abandonIdempotent()
}

// ping asks another node whether it would take calls.
func (t *Traffic) ping(ctx context.Context, m *fleetview.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, t.peers.silence)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.PeerAddress+pathPing, nil)
	if err != nil {
		return false
	}
	transport := t.peers.link(m.PeerAddress).transport
	response, err := transport.RoundTrip(r)
	if err != nil {
		transport.CloseIdleConnections() // the next ping tries a new one
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusNoContent
}

// servePing answers other nodes.
func (t *Traffic) servePing(w http.ResponseWriter, _ *http.Request) {
	if t.Leaving() {
		problem.Write(w, problem.New(problem.KindLeaving, problem.NotExecuted, "the node is stopping"), "")
		return
	}
	if t.watch.isStalled() {
		problem.Write(w, problem.New(problem.KindUnreachable, problem.NotExecuted, "the endpoint doesn't answer"), "")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// due returns the VMs to probe, by service.
func (t *targets) due() map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[string][]string
	for name, s := range t.services {
		vms := s.due()
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

func (s *service) due() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	out := s.router.DueProbes(now, nil)
	for vm, at := range s.leavers {
		if now >= at {
			s.leavers[vm] = now + leaverPingInterval
			out = append(out, vm)
		}
	}
	return out
}

func (s *service) probed(vm string, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.RecordProbe(s.now(), vm, answered)
	if answered {
		delete(s.leavers, vm)
	}
}
