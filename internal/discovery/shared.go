package discovery

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/registry"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/view"
)

// shared is what a node tells another one that knows nothing: the configuration in
// force and the endpoints that it believes in.
type shared struct {
	Version   uint64
	Catalogue *catalogue.Catalogue
	Bounds    view.ClientBounds
	Endpoints []registry.Entry
}

// Needed reports whether no configuration is known yet.
func (b *Board) Needed() bool {
	return b.holder.Load().Index == nil
}

// Share returns what the board knows, for a node that can't read it, or nil before
// the first configuration.
func (b *Board) Share() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == nil {
		return nil
	}
	data, err := cbor.Marshal(&shared{
		Version:   b.current.Version,
		Catalogue: b.current.Catalogue,
		Bounds:    b.current.Bounds,
		Endpoints: b.book.Live(),
	})
	if err != nil {
		b.log.Emit(event.DocumentRefused, "", event.F("key", "shared"), event.F("error", err))
		return nil
	}
	return data
}

// Adopt takes in what another node shared, unless the board knows a configuration
// by now. What the source tells later counts as ever: a configuration that isn't
// older, and its own list of endpoints.
func (b *Board) Adopt(state []byte) {
	s, err := decodeShared(state)
	if err != nil {
		b.log.Emit(event.DocumentRefused, "", event.F("key", "shared"), event.F("error", err))
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil {
		return
	}
	b.log.Emit(event.StateAdopted, "", event.F("revision", s.Version), event.F("endpoints", len(s.Endpoints)))
	for _, e := range s.Endpoints {
		b.put(e)
	}
	b.configure(&Configuration{Version: s.Version, Catalogue: s.Catalogue, Bounds: s.Bounds})
}

func decodeShared(state []byte) (*shared, error) {
	s := &shared{}
	if err := cbor.Unmarshal(state, s); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	if s.Catalogue == nil || len(s.Catalogue.Classes) == 0 {
		return nil, errors.New("no configuration")
	}
	return s, nil
}
