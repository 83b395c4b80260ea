package discovery

import (
	"github.com/galenacart/galenacart/decision/registry"
)

// newsMax bounds the news that wait for a listener. One that falls further behind
// is ended, and starts again from everything.
const newsMax = 256

// News is what one board tells another: everything, or what changed since the
// news before. Empty news are a sign of life.
type News struct {
	// At is the revision of the source up to which the receiver then knows
	// everything, or 0 if that did not change.
	At uint64
	// Configuration is a new configuration, or nil.
	Configuration *Configuration
	// Whole says that Endpoints holds all endpoints.
	Whole bool
	// Endpoints holds endpoints that are new or changed.
	Endpoints []registry.Entry
	// Removed names endpoints that are gone.
	Removed []string
}

// Listener receives the news of a board in order.
type Listener struct {
	// C holds the news. It is closed when the listener fell too far behind.
	C chan *News
}

// Listen returns everything that the board knows, and a listener for what changes
// from then on.
func (b *Board) Listen() (*News, *Listener) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &Listener{C: make(chan *News, newsMax)}
	b.heard[l] = struct{}{}
	return &News{At: b.at, Configuration: b.current, Whole: true, Endpoints: b.book.Live()}, l
}

// Unlisten ends a listener.
func (b *Board) Unlisten(l *Listener) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(l)
}

func (b *Board) end(l *Listener) {
	if _, listens := b.heard[l]; listens {
		delete(b.heard, l)
		close(l.C)
	}
}

// tell hands news to every listener.
func (b *Board) tell(n *News) {
	for l := range b.heard {
		select {
		case l.C <- n:
		default:
			b.end(l)
		}
	}
}

// tellEndpoints tells how the endpoints differ from those told before.
func (b *Board) tellEndpoints(live []registry.Entry) {
	n := &News{}
	now := make(map[string]registry.Entry, len(live))
	for _, e := range live {
		now[e.ID] = e
		if before, known := b.told[e.ID]; !known || !before.Same(e) {
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

// Reached takes in that the source has told everything up to a revision.
func (b *Board) Reached(revision uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if revision > b.at {
		b.at = revision
		b.tell(&News{At: revision})
	}
}

// At returns the revision of the source up to which everything is known, or 0.
func (b *Board) At() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.at
}

// Reading reports whether the source answers.
func (b *Board) Reading() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.away
}

// Take takes in the news of another board. It returns false, and takes nothing,
// if they hold everything as it was before what this board knows.
func (b *Board) Take(n *News) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n.Whole {
		if n.At < b.at {
			return false
		}
		b.back()
	}
	if n.Configuration != nil {
		b.configure(n.Configuration)
	}
	if b.takeEndpoints(n) {
		b.publish()
	}
	b.at = max(b.at, n.At)
	return true
}

func (b *Board) takeEndpoints(n *News) (changed bool) {
	if n.Whole {
		return b.book.Replace(b.now(), n.Endpoints)
	}
	for _, e := range n.Endpoints {
		changed = b.book.Put(e) || changed
	}
	for _, id := range n.Removed {
		changed = b.book.Remove(b.now(), id) || changed
	}
	return changed
}
