package endpoint

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/galenacart/galenacart/internal/wait"
)

// HealthPath is the path of the health and load report.
const HealthPath = "/-/health"

// The statuses that an endpoint reports.
const (
	// StatusOK means that the endpoint takes work.
	StatusOK = "ok"
	// StatusDraining means that the endpoint takes no new work.
	StatusDraining = "draining"
	// StatusDead is reported by an endpoint that lies.
	StatusDead = "dead"
)

// Health is the report of an endpoint. It may lag and mislead.
type Health struct {
	// Status is ok, draining or dead.
	Status string `json:"status"`
	// Load is the number of calls that run or wait, per slot.
	Load float64 `json:"load"`
	// Draining says that the endpoint takes no new work.
	Draining bool `json:"draining"`
}

// sampleInterval is the least time between two kept samples of the load.
const sampleInterval = 5 * time.Millisecond

type sample struct {
	at     time.Time
	health Health
}

// reports keeps the true health of the recent past.
type reports struct {
	mu      sync.Mutex
	samples []sample // the oldest first
}

// add keeps a sample, and drops those that no report with this lag needs.
func (p *reports) add(h Health, now time.Time, lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.samples); n > 0 {
		last := &p.samples[n-1]
		if now.Sub(last.at) < sampleInterval && last.health.Draining == h.Draining {
			last.health = h
			return
		}
	}
	drop := 0
	for drop+1 < len(p.samples) && now.Sub(p.samples[drop+1].at) >= lag {
		drop++
	}
	p.samples = append(p.samples[drop:], sample{at: now, health: h})
}

// before returns the newest sample that is at least lag old. Before the first
// one, the endpoint was idle.
func (p *reports) before(now time.Time, lag time.Duration) Health {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.samples) - 1; i >= 0; i-- {
		if now.Sub(p.samples[i].at) >= lag {
			return p.samples[i].health
		}
	}
	return Health{Status: StatusOK}
}

// trueHealth is the health without lag and lies.
func (e *Endpoint) trueHealth() Health {
	h := Health{Status: StatusOK, Load: e.slots.load()}
	if e.gate.isClosed() {
		h.Status = StatusDraining
		h.Draining = true
	}
	return h
}

// health is what the endpoint reports.
func (e *Endpoint) health() Health {
	b := e.behaviour.Load()
	switch {
	case b.ForceDead:
		return Health{Status: StatusDead}
	case b.ForceHealthy:
		return Health{Status: StatusOK}
	case b.LagMs == 0:
		return e.trueHealth()
	default:
		return e.reports.before(time.Now(), b.lag())
	}
}

func (r *HealthReporting) lag() time.Duration {
	return time.Duration(r.LagMs) * time.Millisecond
}

// noteHealth keeps a sample after a change of the true health.
func (e *Endpoint) noteHealth() {
	if b := e.behaviour.Load(); b.LagMs > 0 {
		e.reports.add(e.trueHealth(), time.Now(), b.lag())
	}
}

func (e *Endpoint) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !wait.For(r.Context(), milliseconds(e.settings.ProbeCostMs)) {
		return
	}
	h := e.health()
	w.Header().Set("Content-Type", "application/json")
	if h.Status != StatusOK {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(h) // the reader may be gone
}
