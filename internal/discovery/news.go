package discovery

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/registry"
	"github.com/galenacart/galenacart/decision/storeera"
)

// newsMax bounds the news that wait for a listener. One that falls further behind
// is ended, and starts again from everything.
const newsMax = 256

// Update is what one board tells another: everything, or what changed since the
// news before. Empty news are a sign of life.
type Update struct {
	// At is the position in the source's history up to which the receiver then knows
	// everything. Its revision is 0 if that did not change.
	At storeera.Position
	// Configuration is a new configuration, or nil.
	Configuration *Configuration
	// Whole says that Endpoints holds all endpoints.
	Whole bool
	// Endpoints holds endpoints that are new or changed.
	Endpoints []registry.Entry
	// Removed names endpoints that are gone.
	Removed []string
	// Gone holds, beside all endpoints, those that are gone: the receiver may meet
	// older words of them.
	Gone []registry.Entry
}

// DecodeUpdate reads news as another node sent them.
func DecodeUpdate(data []byte) (*Update, error) {
	n := &Update{}
	if err := cbor.Unmarshal(data, n); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	if c := n.Configuration; c != nil && (c.Catalogue == nil || len(c.Catalogue.Classes) == 0) {
		return nil, errors.New("a configuration without classes")
	}
	return n, nil
}

// Subscriber receives the news of a board in order.
type Subscriber struct {
	// C holds the news. It is closed when the listener fell too far behind.
	C chan *Update
}

// Subscribe returns everything that the board knows, and a listener for what changes
// from then on.
func (b *Directory) Subscribe() (*Update, *Subscriber) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &Subscriber{C: make(chan *Update, newsMax)}
	b.listeners[l] = struct{}{}
	return b.everything(b.at), l
}

// everything returns the news that tell all that the board knows.
func (b *Directory) everything(at storeera.Position) *Update {
	return &Update{At: at, Configuration: b.current, Whole: true, Endpoints: b.book.Live(), Gone: b.book.Removed()}
}

// Heartbeat returns news that say nothing but that the board is there.
func (b *Directory) Heartbeat() *Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &Update{At: storeera.Position{Era: b.at.Era}}
}

// Unsubscribe ends a listener.
func (b *Directory) Unsubscribe(l *Subscriber) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(l)
}

func (b *Directory) end(l *Subscriber) {
	if _, listens := b.listeners[l]; listens {
		delete(b.listeners, l)
		close(l.C)
	}
}

// tell hands news to every listener, with the era that they belong to.
func (b *Directory) tell(n *Update) {
	n.At.Era = b.at.Era
	for l := range b.listeners {
		select {
		case l.C <- n:
		default:
			b.end(l)
		}
	}
}

// tellEndpoints tells how the endpoints differ from those told before.
func (b *Directory) tellEndpoints(live []registry.Entry) {
	n := &Update{}
	now := make(map[string]registry.Entry, len(live))
	for _, e := range live {
		now[e.ID] = e
		if before, known := b.told[e.ID]; !known || !before.EqualExceptSequence(e) {
			n.Endpoints = append(n.Endpoints, e)
		}
	}
	for id := range b.told {
		if _, stays := now[id]; !stays {
			n.Removed = append(n.Removed, id)
		}
	}
	b.told = now
	if len(n.Endpoints)+len(n.Removed) > 0 {
		b.tell(n)
	}
}

// AdvanceRevision takes in that the source has told everything up to a revision of the era
// heard last.
func (b *Directory) AdvanceRevision(revision uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if revision > b.at.Revision {
		b.at.Revision = revision
		b.tell(&Update{At: b.at})
	}
}

// Position returns the position in the source's history up to which everything is known.
func (b *Directory) Position() storeera.Position {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.at
}

// SourceAvailable reports whether the source answers.
func (b *Directory) SourceAvailable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.away
}

// ApplyUpdate takes in the news of another board. It returns false, and takes nothing, if
// they are of an earlier era, or hold everything as it was before what this board
// knows.
func (b *Directory) ApplyUpdate(n *Update) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n.At.Era < b.at.Era || n.Whole && n.At.Before(b.at) {
		return false
	}
	if n.Whole {
		b.back()
	}
	if n.Configuration != nil {
		b.configure(n.Configuration)
	}
	if b.takeEndpoints(n) {
		b.publish()
	}
	if b.at.Before(n.At) {
		b.at = n.At
	}
	return true
}

func (b *Directory) takeEndpoints(n *Update) (changed bool) {
	for _, e := range n.Gone {
		changed = b.book.MergeRemoved(b.now(), e) || changed
	}
	if n.Whole {
		return b.book.Replace(b.now(), n.Endpoints) || changed
	}
	for _, e := range n.Endpoints {
		changed = b.book.Put(e) || changed
	}
	for _, id := range n.Removed {
		changed = b.book.Remove(b.now(), id) || changed
	}
	return changed
}
