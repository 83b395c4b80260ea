// Package registry keeps the endpoints that are published in a store, although
// entries come late, out of order, from other writers, from an older copy of the
// store, or vanish while the store is away. It answers planned stops, outages and
// restores of the store: an endpoint that has begun to leave never comes back under
// the same run, one that is gone comes back only by a newer word of its own, and one
// that only lost its entry for a moment is kept.
package registry

import "time"

// returnGrace is the time after the store's return in which entries that lapsed
// meanwhile come back.
const returnGrace = 2 * time.Second

// forgetAfter is the time for which an entry that is gone is remembered, so that
// older words of it that come late are known for what they are.
const forgetAfter = 10 * time.Minute

// Entry is one published endpoint. Nodes tell each other entries without the names
// of the fields, which would be half of each.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// ID names the endpoint; it may start again under the same one.
	ID string
	// Service is the service that the endpoint belongs to.
	Service string
	// Address is its IP address and port.
	Address string
	// AvailabilityZone is where it stands.
	AvailabilityZone string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Leaving says that it takes no new work.
	Leaving bool
	// StartedMs is the time of its start, in milliseconds of the Unix epoch.
	StartedMs int64
	// Sequence orders what it said of itself since its start.
	Sequence int64
}

// older reports whether e was said before other.
func (e *Entry) older(other *Entry) bool {
	if e.StartedMs != other.StartedMs {
		return e.StartedMs < other.StartedMs
	}
	return e.Sequence < other.Sequence
}

type record struct {
	entry   Entry
	present bool          // the store holds it
	until   time.Duration // of pending, or of the memory of an entry that is gone
	pending bool          // vanished while the store was away; gone at until
}

// gone reports whether the endpoint is known to have left the store. A pending one
// is still present.
func (r *record) gone() bool {
	return !r.present
}

// Table holds the endpoints. It is not safe for concurrent use.
type Table struct {
	records  map[string]*record
	away     bool
	returned time.Duration
	ever     bool
}

// New returns an empty book.
func New() *Table {
	return &Table{records: make(map[string]*record)}
}

// Put takes in an entry. It reports whether anything changed.
func (b *Table) Put(e Entry) bool {
	r, known := b.records[e.ID]
	if !known {
		b.records[e.ID] = &record{entry: e, present: true}
		return true
	}
	if e.older(&r.entry) || r.gone() && !r.entry.older(&e) {
		return false
	}
	if e.StartedMs == r.entry.StartedMs {
		e.Leaving = e.Leaving || r.entry.Leaving
	}
	changed := !r.present || !r.entry.EqualExceptSequence(e)
	r.entry, r.present, r.pending = e, true, false
	return changed
}

// EqualExceptSequence reports whether the entry differs from another in nothing but what changes
// all the time.
func (e Entry) EqualExceptSequence(other Entry) bool {
	e.Sequence = other.Sequence
	return e == other
}

// Remove takes in that an entry is no longer in the store.
func (b *Table) Remove(now time.Duration, id string) bool {
	r, known := b.records[id]
	if !known || !r.present || r.pending {
		return false
	}
	if b.ever && now-b.returned < returnGrace {
		r.pending = true
		r.until = b.returned + returnGrace
		return false
	}
	r.present = false
	r.until = now + forgetAfter
	return true
}

// Replace takes in the whole list of entries.
func (b *Table) Replace(now time.Duration, all []Entry) bool {
	changed := false
	listed := make(map[string]bool, len(all))
	for _, e := range all {
		listed[e.ID] = true
		changed = b.Put(e) || changed
	}
	for id := range b.records {
		if !listed[id] {
			changed = b.Remove(now, id) || changed
		}
	}
	return changed
}

// MarkUnavailable takes in that the store doesn't answer.
func (b *Table) MarkUnavailable() {
	b.away = true
}

// MarkAvailable takes in that the store answers.
func (b *Table) MarkAvailable(now time.Duration) {
	if b.away {
		b.away = false
		b.returned = now
		b.ever = true
	}
}

// MarkRestored takes in that the store has come back from an older copy: entries that the
// copy lacks come back like those that lapsed in an outage.
func (b *Table) MarkRestored(now time.Duration) {
	b.MarkUnavailable()
	b.MarkAvailable(now)
}

// MergeRemoved takes in that an endpoint is gone, as another node knows it. It reports
// whether anything changed. A newer word of the endpoint stands.
func (b *Table) MergeRemoved(now time.Duration, e Entry) bool {
	r, known := b.records[e.ID]
	if known && e.older(&r.entry) {
		return false
	}
	changed := known && r.present
	if !known || changed {
		b.records[e.ID] = &record{entry: e, until: now + forgetAfter}
	}
	return changed
}

// Removed returns the entries that are known to be gone, for nodes that know less.
func (b *Table) Removed() []Entry {
	var gone []Entry
	for _, r := range b.records {
		if r.gone() {
			gone = append(gone, r.entry)
		}
	}
	return gone
}

// Expire removes the entries that did not come back, and forgets those that are
// long gone. It reports whether any was removed.
func (b *Table) Expire(now time.Duration) bool {
	changed := false
	for id, r := range b.records {
		switch {
		case now < r.until:
		case r.pending:
			r.pending, r.present = false, false
			r.until = now + forgetAfter
			changed = true
		case r.gone():
			delete(b.records, id)
		}
	}
	return changed
}

// Live returns the entries that the store holds or that may come back. Where an
// endpoint started anew under another name, the entry of its earlier run is left
// out: it stays in the store for some beats.
func (b *Table) Live() []Entry {
	newest := make(map[string]int64)
	for _, r := range b.records {
		if r.present {
			newest[r.entry.Address] = max(newest[r.entry.Address], r.entry.StartedMs)
		}
	}
	live := make([]Entry, 0, len(b.records))
	for _, r := range b.records {
		if r.present && r.entry.StartedMs == newest[r.entry.Address] {
			live = append(live, r.entry)
		}
	}
	return live
}
