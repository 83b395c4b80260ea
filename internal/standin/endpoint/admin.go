package endpoint

import (
	"io"
	"net/http"

	"github.com/galenacart/galenacart/internal/strictjson"
)

const (
	maxAdminBytes = 4 << 10
	maxSlowFactor = 10000
)

// Status is the actual state of the endpoint, for checks and experiments.
type Status struct {
	// Running is the number of running calls, each of which holds a slot.
	Running int64 `json:"running"`
	// Waiting is the number of calls that wait for a slot.
	Waiting int64 `json:"waiting"`
	// Draining is set if the endpoint refuses new calls.
	Draining bool `json:"draining"`
	// Connections is the number of open connections, without silenced ones.
	Connections int `json:"connections"`
	// ConnectionsRefused is the number of connections closed on accept.
	ConnectionsRefused uint64 `json:"connectionsRefused"`
	// Behaviour is the current behaviour.
	Behaviour Behaviour `json:"behaviour"`
}

// SilenceResponse is the response body of a request to silence connections.
type SilenceResponse struct {
	// Connections is the number of silenced connections.
	Connections int `json:"connections"`
}

// AdminHandler returns the handler through which tests and experiments read the
// endpoint's state and change its behaviour. Nodes never use it.
func (e *Endpoint) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/status", e.handleStatus)
	mux.HandleFunc("PUT /admin/behaviour", e.handleBehaviour)
	mux.HandleFunc("POST /admin/silence", e.handleSilence)
	return mux
}

// Status returns the actual state.
func (e *Endpoint) Status() Status {
	s := Status{
		Running:   e.slots.running.Load(),
		Waiting:   e.slots.waiting.Load(),
		Draining:  e.gate.isClosed(),
		Behaviour: *e.behaviour.Load(),
	}
	if l := e.listener.Load(); l != nil {
		s.Connections = l.openCount()
		s.ConnectionsRefused = l.refused.Load()
	}
	return s
}

func (e *Endpoint) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Status())
}

func (e *Endpoint) handleSilence(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, SilenceResponse{Connections: e.SilenceConnections()})
}

func (e *Endpoint) handleBehaviour(w http.ResponseWriter, r *http.Request) {
	c := BehaviourChange{}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxAdminBytes))
	if err == nil {
		err = strictjson.Decode("body", data, &c)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.SlowFactor != nil && (*c.SlowFactor <= 0 || *c.SlowFactor > maxSlowFactor) {
		http.Error(w, "slowFactor: want more than 0 and at most 10000", http.StatusBadRequest)
		return
	}
	if c.ReportLagMs != nil && *c.ReportLagMs < 0 {
		http.Error(w, "reportLagMs: want 0 or more", http.StatusBadRequest)
		return
	}
	e.ChangeBehaviour(c)
	writeJSON(w, http.StatusOK, *e.behaviour.Load())
}
