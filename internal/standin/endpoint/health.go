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

// Values of Health.Status.
const (
	// StatusOK means that the endpoint accepts calls.
	StatusOK = "ok"
	// StatusDraining means that the endpoint refuses new calls.
	StatusDraining = "draining"
	// StatusDead is reported only if HealthReporting.ForceDead is set.
	StatusDead = "dead"
)

// Health is the health and load report of an endpoint. It may be outdated or wrong,
// as HealthReporting configures.
type Health struct {
	// Status is ok, draining or dead.
	Status string `json:"status"`
	// Load is the number of running and waiting calls per slot.
	Load float64 `json:"load"`
	// Draining is set if the endpoint refuses new calls.
	Draining bool `json:"draining"`
}

// sampleInterval is the minimum time between two retained samples of the load.
const sampleInterval = 5 * time.Millisecond

// healthSample is the actual health at one time.
type healthSample struct {
	at     time.Time
	health Health
}

// healthHistory holds samples of the actual health of the recent past.
type healthHistory struct {
	mu      sync.Mutex
	samples []healthSample // oldest first
}

// add appends a sample and discards samples too old for reports with this lag.
func (h *healthHistory) add(current Health, now time.Time, lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.samples); n > 0 {
		last := &h.samples[n-1]
		if now.Sub(last.at) < sampleInterval && last.health.Draining == current.Draining {
			last.health = current
			return
		}
	}
	expired := 0
	for expired+1 < len(h.samples) && now.Sub(h.samples[expired+1].at) >= lag {
		expired++
	}
	h.samples = append(h.samples[expired:], healthSample{at: now, health: current})
}

// before returns the newest sample that is at least lag old. Before the first
// sample, the endpoint was idle.
func (h *healthHistory) before(now time.Time, lag time.Duration) Health {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.samples) - 1; i >= 0; i-- {
		if now.Sub(h.samples[i].at) >= lag {
			return h.samples[i].health
		}
	}
	return Health{Status: StatusOK}
}

// actualHealth returns the current health, unaffected by HealthReporting.
func (e *Endpoint) actualHealth() Health {
	h := Health{Status: StatusOK, Load: e.slots.load()}
	if e.gate.isClosed() {
		h.Status = StatusDraining
		h.Draining = true
	}
	return h
}

// reportedHealth returns the health that the endpoint reports.
func (e *Endpoint) reportedHealth() Health {
	b := e.behaviour.Load()
	switch {
	case b.ForceDead:
		return Health{Status: StatusDead}
	case b.ForceHealthy:
		return Health{Status: StatusOK}
	case b.LagMs == 0:
		return e.actualHealth()
	default:
		return e.healthHistory.before(time.Now(), b.lag())
	}
}

func (r *HealthReporting) lag() time.Duration {
	return time.Duration(r.LagMs) * time.Millisecond
}

// recordHealth stores a sample after a change of the actual health if reports lag.
func (e *Endpoint) recordHealth() {
	if b := e.behaviour.Load(); b.LagMs > 0 {
		e.healthHistory.add(e.actualHealth(), time.Now(), b.lag())
	}
}

// serveHealth responds to a health probe, with status 503 unless the reported status
// is ok.
func (e *Endpoint) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !wait.For(r.Context(), milliseconds(e.settings.ProbeCostMs)) {
		return
	}
	h := e.reportedHealth()
	w.Header().Set("Content-Type", "application/json")
	if h.Status != StatusOK {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(h) // the caller may have disconnected
}
