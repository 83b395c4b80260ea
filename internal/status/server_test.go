package status

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/problem"
)

func testServer() (*Server, *Refusals) {
	// The field "clock" holds the logical time of an event.
	ring := event.NewRing(8)
	_, _ = ring.Write([]byte(`{"clock":4,"event":1001,"correlation":"c-1"}` + "\n"))
	_, _ = ring.Write([]byte(`{"clock":9,"event":1002}` + "\n"))
	holder := &fleetview.Holder{}
	holder.Store(&fleetview.View{Revision: 7, Leaving: true})
	refusals := NewRefusals()
	set := metrics.NewSet()
	set.RecordCall(metrics.RoleCaller, 2*time.Second)
	set.RecordRefusal(problem.KindOverloaded)
	return New(Config{
		Identity:  Node{VM: "vm-1", AvailabilityZone: "stord-a", Service: "stock", Incarnation: 1 << 60},
		View:      holder,
		Admission: func() any { return struct{ Limit int }{12} },
		Refusals:  refusals,
		Events:    ring,
		Metrics:   set.Registry(),
	}), refusals
}

func get(s *Server, method, target string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(method, target, nil))
	return w
}

func TestStatusReturnsNodeState(t *testing.T) {
	s, refusals := testServer()
	refusals.Add(time.Unix(5, 0), "c-1", problem.KindOverloaded, "threshold")
	n := Node{}
	require.NoError(t, json.Unmarshal(get(s, http.MethodGet, PathStatus).Body.Bytes(), &n))
	require.Equal(t, "vm-1", n.VM)
	require.Equal(t, uint64(1<<60), n.Incarnation)
	require.Equal(t, Catalogue{Revision: 7}, n.Catalogue)
	require.True(t, n.Leaving)
	require.JSONEq(t, `{"Limit":12}`, string(n.Admission))
	require.Len(t, n.Refusals, 1)
	require.Equal(t, "overloaded", n.Refusals[0].Kind)
}

func TestPaths(t *testing.T) {
	s, _ := testServer()
	tests := []struct {
		desc, method, target string
		status               int
		contains             string
	}{
		{"all events", http.MethodGet, "/events", http.StatusOK, `"event":1001`},
		{"events after a logical time", http.MethodGet, "/events?after=4", http.StatusOK, `{"clock":9,"event":1002}`},
		{"events of a request", http.MethodGet, "/events?correlation=c-1", http.StatusOK, `"event":1001`},
		{"request without events", http.MethodGet, "/events?correlation=c-9", http.StatusOK, ""},
		{"summary", http.MethodGet, "/summary", http.StatusOK, `"vm": "vm-1"`},
		{"refusals", http.MethodGet, "/refusals", http.StatusOK, "[]"},
		{"invalid logical time", http.MethodGet, "/events?after=-1", http.StatusBadRequest, "want a logical time"},
		{"text metrics", http.MethodGet, "/metrics", http.StatusOK, `galenacart_refusals_total{kind="overloaded"} 1`},
		{"JSON metrics", http.MethodGet, "/metrics.json", http.StatusOK, `"galenacart_goroutines":{"value":`},
		{"status is read-only", http.MethodPost, "/status", http.StatusMethodNotAllowed, ""},
		{"events can't be deleted", http.MethodDelete, "/events", http.StatusMethodNotAllowed, ""},
		{"metrics are read-only", http.MethodPut, "/metrics", http.StatusMethodNotAllowed, ""},
		{"unknown path", http.MethodGet, "/admin", http.StatusNotFound, ""},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			w := get(s, tt.method, tt.target)
			require.Equal(t, tt.status, w.Code)
			require.Contains(t, w.Body.String(), tt.contains)
		})
	}
	require.NotContains(t, get(s, http.MethodGet, "/events?after=4").Body.String(), "1001")
}

func TestRefusalsAreFilteredByCorrelation(t *testing.T) {
	s, refusals := testServer()
	refusals.Add(time.Now(), "c-1", problem.KindTimeout, "late")
	refusals.Add(time.Now().Add(-time.Hour), "c-2", problem.KindTimeout, "late")
	var list []Refusal
	require.NoError(t, json.Unmarshal(get(s, http.MethodGet, "/refusals?correlation=c-2").Body.Bytes(), &list))
	require.Len(t, list, 1)
	require.Equal(t, "c-2", list[0].Correlation)
	require.Equal(t, 1, s.Summary().Refusals, "only refusals of the last minute are counted")
}

func TestRefusalsDropOldest(t *testing.T) {
	r := NewRefusals()
	for i := range maxRefusals + 3 {
		r.Add(time.Unix(int64(i), 0), "c", problem.KindTimeout, string(make([]byte, 2*maxTextBytes)))
	}
	list := r.List()
	require.Len(t, list, maxRefusals)
	require.Equal(t, int64(3), list[0].Time.Unix())
	require.Equal(t, int64(maxRefusals+2), list[maxRefusals-1].Time.Unix())
	require.Len(t, list[0].Detail, maxTextBytes)
}
