package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/galenacart/galenacart/internal/strictjson"
)

const maxAdminBytes = 4 << 10

// LagChange asks for another lag of the VM list.
type LagChange struct {
	// VMListLagMs is the lag of later writes, in milliseconds.
	VMListLagMs int `json:"vmListLagMs"`
}

// AdminHandler returns the handler by which tests and experiments write keys,
// change the mode and read the counters. Nodes never use it.
func (p *Platform) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /admin/keys/{key}", p.adminPut)
	mux.HandleFunc("PUT /admin/mode", p.adminMode)
	mux.HandleFunc("PUT /admin/lag", p.adminLag)
	mux.HandleFunc("GET /admin/counters", p.adminCounters)
	mux.HandleFunc("DELETE /admin/counters", p.adminResetCounters)
	return mux
}

func (p *Platform) adminPut(w http.ResponseWriter, r *http.Request) {
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

func (p *Platform) adminMode(w http.ResponseWriter, r *http.Request) {
	c := ModeChange{}
	if !readAdmin(w, r, &c) {
		return
	}
	if err := p.SetMode(c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) adminLag(w http.ResponseWriter, r *http.Request) {
	c := LagChange{}
	if !readAdmin(w, r, &c) {
		return
	}
	if c.VMListLagMs < 0 {
		http.Error(w, "vmListLagMs: want 0 or more", http.StatusBadRequest)
		return
	}
	p.SetVMListLag(time.Duration(c.VMListLagMs) * time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) adminCounters(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.Counters()) // the reader may be gone
}

func (p *Platform) adminResetCounters(w http.ResponseWriter, _ *http.Request) {
	p.ResetCounters()
	w.WriteHeader(http.StatusNoContent)
}

// readAdmin decodes a body, or answers 400 and returns false.
func readAdmin(w http.ResponseWriter, r *http.Request, into any) bool {
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
