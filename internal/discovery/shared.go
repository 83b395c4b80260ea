package discovery

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/storeera"
	"github.com/galenacart/galenacart/internal/event"
)

// NeedsState reports whether no configuration is known yet.
func (b *Directory) NeedsState() bool {
	return b.holder.Load().Index == nil
}

// ExportState returns what the board knows, for a node that can't read it, or nil before
// the first configuration. It names no revision of the source: such a node reads
// everything as soon as it can.
func (b *Directory) ExportState() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == nil {
		return nil
	}
	data, err := cbor.Marshal(b.everything(storeera.Position{}))
	if err != nil {
		b.log.Emit(event.DocumentRefused, "", event.F("key", "shared"), event.F("error", err))
		return nil
	}
	return data
}

// ImportState takes in what another node shared, unless the board knows a configuration
// by now. What the source tells later counts as ever: a configuration that isn't
// older, and its own list of endpoints.
func (b *Directory) ImportState(state []byte) {
	n, err := decodeShared(state)
	if err != nil {
		b.log.Emit(event.DocumentRefused, "", event.F("key", "shared"), event.F("error", err))
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil {
		return
	}
	b.log.Emit(event.StateAdopted, "", event.F("revision", n.Configuration.Version), event.F("endpoints", len(n.Endpoints)))
	for _, e := range n.Endpoints {
		b.put(e)
	}
	for _, e := range n.Gone {
		b.book.MergeRemoved(b.now(), e)
	}
	b.configure(n.Configuration)
}

func decodeShared(state []byte) (*Update, error) {
	n, err := DecodeUpdate(state)
	if err == nil && (!n.Whole || n.Configuration == nil) {
		err = errors.New("no configuration")
	}
	return n, err
}
