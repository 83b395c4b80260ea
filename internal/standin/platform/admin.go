package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/galenacart/galenacart/internal/strictjson"
)

const maxAdminBytes = 4 << 10

// LagChange is the request body of a change of the VM list's lag.
type LagChange struct {
	// VMListLagMs is the lag for later writes, in milliseconds.
	VMListLagMs int `json:"vmListLagMs"`
}

// AdminHandler returns the handler through which tests and experiments write keys,
// change the mode and the lag, and read or reset the counters. Nodes never use it.
func (p *Platform) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /admin/keys/{key}", p.handlePut)
	mux.HandleFunc("PUT /admin/mode", p.handleMode)
	mux.HandleFunc("PUT /admin/lag", p.handleLag)
	mux.HandleFunc("GET /admin/counters", p.handleCounters)
	mux.HandleFunc("DELETE /admin/counters", p.handleResetCounters)
	return mux
}

func (p *Platform) handlePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.Put(r.PathValue("key"), value); err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	setRevisions(w, p.store.View().State, Entry{})
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) handleMode(w http.ResponseWriter, r *http.Request) {
	c := ModeChange{}
	if !decodeBody(w, r, &c) {
		return
	}
	if err := p.SetMode(c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) handleLag(w http.ResponseWriter, r *http.Request) {
	c := LagChange{}
	if !decodeBody(w, r, &c) {
		return
	}
	if c.VMListLagMs < 0 {
		http.Error(w, "vmListLagMs: want 0 or more", http.StatusBadRequest)
		return
	}
	p.SetVMListLag(time.Duration(c.VMListLagMs) * time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) handleCounters(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.Counters()) // the reader may have disconnected
}

func (p *Platform) handleResetCounters(w http.ResponseWriter, _ *http.Request) {
	p.ResetCounters()
	w.WriteHeader(http.StatusNoContent)
}

// decodeBody decodes the request body, or responds with status 400 and returns
// false.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxAdminBytes))
	if err == nil {
		err = strictjson.Decode("body", data, into)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
