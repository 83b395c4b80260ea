package status

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/metrics"
)

// The paths of the server.
const (
	// PathStatus serves a Node as JSON.
	PathStatus = "/status"
	// PathSummary serves a Summary as JSON.
	PathSummary = "/summary"
	// PathRefusals serves a list of Refusal as JSON: all retained ones, or those of
	// the request in QueryCorrelation.
	PathRefusals = "/refusals"
	// PathEvents serves recent event lines, one JSON object a line. QueryAfter limits
	// them to later ones, QueryCorrelation to those of one request.
	PathEvents = "/events"
	// PathMetrics serves the metrics in the text format of scrapers.
	PathMetrics = "/metrics"
	// PathMetricsJSON serves the metrics as JSON.
	PathMetricsJSON = "/metrics.json"
)

// Query parameters.
const (
	// QueryAfter is the logical time after which events are listed.
	QueryAfter = "after"
	// QueryCorrelation is the correlation ID of a request.
	QueryCorrelation = "correlation"
)

// refusalWindow is the period over which a Summary counts refusals.
const refusalWindow = time.Minute

// Source returns one section of the status, which is encoded as JSON. Request
// handlers call it, so it must be safe for concurrent use.
type Source func() any

// Config holds the data sources of a Server. Every source may be nil.
type Config struct {
	// Identity holds the fields that stay constant while the process runs: VM,
	// AvailabilityZone, Region, Service, Incarnation and Version.
	Identity Node
	// View provides the catalogue in force and whether the node is leaving.
	View *fleetview.Holder
	// Catalogue, if set, provides the catalogue's state instead of View; it includes
	// the reason why no newer revision is in force.
	Catalogue func() Catalogue
	// Admission provides the state of admission.
	Admission Source
	// Records provides the state of the records of non-idempotent calls.
	Records Source
	// Control provides the state of the control thread.
	Control Source
	// Refusals holds recent refusals.
	Refusals *Refusals
	// Events holds recent event lines.
	Events *event.Ring
	// Metrics holds the metrics.
	Metrics gometrics.Registry
}

// Server serves the status of one node.
type Server struct {
	config Config
}

// New returns a server of the sources in c.
func New(c Config) *Server {
	if c.View == nil {
		c.View = &fleetview.Holder{}
	}
	if c.Refusals == nil {
		c.Refusals = NewRefusals()
	}
	return &Server{config: c}
}

// Handler returns the handler of all paths. It accepts GET and HEAD only.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, s.serveStatus)
	mux.HandleFunc("GET "+PathSummary, s.serveSummary)
	mux.HandleFunc("GET "+PathRefusals, s.serveRefusals)
	mux.HandleFunc("GET "+PathEvents, s.serveEvents)
	mux.HandleFunc("GET "+PathMetrics, s.serveMetrics)
	mux.HandleFunc("GET "+PathMetricsJSON, s.serveMetricsJSON)
	return mux
}

// Node returns the state that PathStatus serves.
func (s *Server) Node() (*Node, error) {
	n := s.config.Identity
	n.Leaving = s.leaving()
	n.Catalogue = s.catalogue()
	n.Refusals = s.config.Refusals.List()
	sections := []struct {
		into   *json.RawMessage
		source Source
	}{
		{&n.Admission, s.config.Admission},
		{&n.Records, s.config.Records},
		{&n.Control, s.config.Control},
	}
	for _, section := range sections {
		if section.source == nil {
			continue
		}
		encoded, err := json.Marshal(section.source())
		if err != nil {
			return nil, err
		}
		*section.into = encoded
	}
	return &n, nil
}

// Summary returns the state that PathSummary serves.
func (s *Server) Summary() Summary {
	identity := s.config.Identity
	return Summary{
		VM:               identity.VM,
		AvailabilityZone: identity.AvailabilityZone,
		Service:          identity.Service,
		Version:          identity.Version,
		Leaving:          s.leaving(),
		Catalogue:        s.catalogue(),
		Refusals:         s.config.Refusals.CountSince(time.Now().Add(-refusalWindow)),
	}
}

func (s *Server) leaving() bool {
	return s.config.View.Load().Leaving
}

func (s *Server) catalogue() Catalogue {
	if s.config.Catalogue != nil {
		return s.config.Catalogue()
	}
	return Catalogue{Revision: s.config.View.Load().Revision}
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	n, err := s.Node()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, n)
}

func (s *Server) serveSummary(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Summary())
}

func (s *Server) serveRefusals(w http.ResponseWriter, r *http.Request) {
	correlation := r.URL.Query().Get(QueryCorrelation)
	if correlation == "" {
		writeJSON(w, s.config.Refusals.List())
		return
	}
	writeJSON(w, s.config.Refusals.ByCorrelation(correlation))
}

func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	after := uint64(0)
	if text := r.URL.Query().Get(QueryAfter); text != "" {
		var err error
		after, err = strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "after: want a logical time, a whole number from 0", http.StatusBadRequest)
			return
		}
	}
	var lines []byte
	if s.config.Events != nil {
		lines = s.config.Events.Select(after, r.URL.Query().Get(QueryCorrelation))
	}
	writeBody(w, "application/x-ndjson", lines)
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	var out bytes.Buffer
	if s.config.Metrics != nil {
		_ = metrics.WriteText(&out, s.config.Metrics) // writing to a buffer never fails
	}
	writeBody(w, metrics.ContentType, out.Bytes())
}

func (s *Server) serveMetricsJSON(w http.ResponseWriter, _ *http.Request) {
	out := bytes.NewBufferString("")
	if s.config.Metrics != nil {
		metrics.WriteJSON(out, s.config.Metrics)
	}
	writeBody(w, "application/json", out.Bytes())
}

func writeJSON(w http.ResponseWriter, value any) {
	encoded, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeBody(w, "application/json", append(encoded, '\n'))
}

func writeBody(w http.ResponseWriter, contentType string, body []byte) {
	h := w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	_, _ = w.Write(body) // fails only if the client disconnected
}
