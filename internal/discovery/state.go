package discovery

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/storeera"
	"github.com/galenacart/galenacart/internal/event"
)

// NeedsState reports whether the directory has no configuration yet.
func (d *Directory) NeedsState() bool {
	return d.holder.Load().Index == nil
}

// ExportState returns the encoded state for a node that can't read the source, or nil before
// the first configuration. It contains no revision of the source, so that such a node reads
// everything as soon as it can.
func (d *Directory) ExportState() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.configuration == nil {
		return nil
	}
	data, err := cbor.Marshal(d.snapshot(storeera.Position{}))
	if err != nil {
		d.log.Emit(event.DocumentRefused, "", event.F("key", "shared"), event.F("error", err))
		return nil
	}
	return data
}

// ImportState applies the exported state of another node, unless the directory already has a
// configuration. Later data from the source is applied as usual: a newer configuration,
// and the list of endpoints.
func (d *Directory) ImportState(state []byte) {
	u, err := decodeState(state)
	if err != nil {
		d.log.Emit(event.DocumentRefused, "", event.F("key", "shared"), event.F("error", err))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.configuration != nil {
		return
	}
	d.log.Emit(event.StateAdopted, "", event.F("revision", u.Configuration.Version), event.F("endpoints", len(u.Endpoints)))
	d.applyEndpoints(&Update{Endpoints: u.Endpoints, Kept: u.Kept, Gone: u.Gone, Final: u.Final})
	d.applyConfiguration(u.Configuration)
}

func decodeState(state []byte) (*Update, error) {
	u, err := DecodeUpdate(state)
	if err == nil && (!u.Whole || u.Configuration == nil) {
		err = errors.New("state without a configuration")
	}
	return u, err
}
