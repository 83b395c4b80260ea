package relay

import (
	"io"
	"net/http"
	"strings"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/strictjson"
)

const maxAdminBytes = 64 << 10

// AdminHandler returns the handler by which experiments cut and heal the network.
func (r *Relay) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /admin/cut", r.adminCut)
	return mux
}

func (r *Relay) adminCut(w http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(io.LimitReader(request.Body, maxAdminBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	cut, err := strictjson.DecodeChecked("body", data, func(c *Partition) []strictjson.Fault { return strictjson.Validate(c) })
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := r.SetPartition(*cut); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	r.log.Emit(event.RelayCut, "",
		event.F("availability_zones", strings.Join(cut.AvailabilityZones, " ")), event.F("mode", string(cut.Mode)))
	w.WriteHeader(http.StatusNoContent)
}
