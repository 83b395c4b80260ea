package relay

import (
	"io"
	"net/http"
	"strings"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/strictjson"
)

const maxAdminBytes = 64 << 10

// AdminHandler returns the handler through which experiments set and remove network
// partitions.
func (r *Relay) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /admin/cut", r.handlePartition)
	return mux
}

func (r *Relay) handlePartition(w http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(io.LimitReader(request.Body, maxAdminBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	partition, err := strictjson.DecodeChecked("body", data, func(p *Partition) []strictjson.Fault { return strictjson.Validate(p) })
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := r.SetPartition(*partition); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	r.log.Emit(event.RelayCut, "",
		event.F("availability_zones", strings.Join(partition.AvailabilityZones, " ")), event.F("mode", string(partition.Mode)))
	w.WriteHeader(http.StatusNoContent)
}
