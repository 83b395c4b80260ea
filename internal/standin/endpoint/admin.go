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

// Status is the true state of the endpoint, for checks and experiments.
type Status struct {
	// Running is the number of calls that hold a slot.
	Running int64 `json:"running"`
	// Waiting is the number of calls that wait for a slot.
	Waiting int64 `json:"waiting"`
	// Draining says that the endpoint takes no new work.
	Draining bool `json:"draining"`
	// Connections is the number of open connections that answer.
	Connections int `json:"connections"`
	// ConnectionsRefused counts the connections closed at accept.
	ConnectionsRefused uint64 `json:"connectionsRefused"`
	// Behaviour is the behaviour in force.
	Behaviour Behaviour `json:"behaviour"`
}

// SilenceResponse is the answer to a request for silence.
type SilenceResponse struct {
	// Connections is the number of connections that went silent.
	Connections int `json:"connections"`
}

// AdminHandler returns the handler by which tests and experiments change the
// endpoint's behaviour. Nodes never use it.
func (e *Endpoint) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/status", e.adminStatus)
	mux.HandleFunc("PUT /admin/behaviour", e.adminBehaviour)
	mux.HandleFunc("POST /admin/silence", e.adminSilence)
	return mux
}

// Status returns the true state.
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

func (e *Endpoint) adminStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Status())
}

func (e *Endpoint) adminSilence(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, SilenceResponse{Connections: e.SilenceConnections()})
}

func (e *Endpoint) adminBehaviour(w http.ResponseWriter, r *http.Request) {
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
