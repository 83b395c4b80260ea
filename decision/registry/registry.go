// Package registry keeps the endpoints published in a store. Entries may arrive late, out
// of order, from other writers or from an older copy of the store, or disappear while the
// store is unavailable. The package handles planned stops, outages and restores of the
// store: an endpoint that has started to leave does not become available again during the
// same run, an endpoint that was removed before a restore is added again only by a newer entry
// of its own, and an endpoint whose entry is missing only briefly is kept. An entry that is no
// endpoint's own does not hide the endpoint at its address. The table holds what the store
// holds; which services count is applied when it is read.
package registry

import "time"

// removedRetention is the time for which a removed entry is kept, so that older entries
// of the endpoint that arrive late are recognised as such.
const removedRetention = 10 * time.Minute

// Entry is one published endpoint. Nodes exchange entries without the field names, which
// would make up half of the size.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// ID identifies the endpoint. It may be the same after a restart.
	ID string
	// Service is the service that the endpoint belongs to.
	Service string
	// Address is its IP address and port.
	Address string
	// AvailabilityZone is the zone in which it runs.
	AvailabilityZone string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Leaving says that it accepts no new work.
	Leaving bool
	// StartedMs is the time of its start, in milliseconds since the Unix epoch.
	StartedMs int64
	// Sequence orders the entries that it has published since its start.
	Sequence int64
}

// olderThan reports whether e was published before other.
func (e *Entry) olderThan(other *Entry) bool {
	if e.StartedMs != other.StartedMs {
		return e.StartedMs < other.StartedMs
	}
	return e.Sequence < other.Sequence
}

type record struct {
	entry    Entry
	present  bool          // in the store, or pending
	deadline time.Duration // end of the grace if pending, of the retention if removed
	pending  bool          // missing since an outage; removed at deadline
	final    bool          // removed before a restore of the store, which may hold its last entry
	hidden   bool          // omitted from the last list of live entries, for another one at its address
	refuted  bool          // hidden, since an earlier run at its address still publishes
	// The updates in which the run appeared, was last published, and was published before that.
	appearedAt, publishedAt, publishedBefore uint64
}

// recordPublished records that an entry was received that is not older than the known one.
func (r *record) recordPublished(e *Entry, update uint64) {
	switch {
	case !r.present || e.StartedMs != r.entry.StartedMs:
		r.appearedAt, r.publishedAt, r.publishedBefore = update, update, update
	case r.entry.Sequence < e.Sequence:
		r.publishedAt, r.publishedBefore = update, r.publishedAt
	}
}

// removed reports whether the entry was removed from the store. A pending one still counts
// as present.
func (r *record) removed() bool {
	return !r.present
}

// Table holds the published endpoints. It is not safe for concurrent use.
type Table struct {
	records        map[string]*record
	lapseTime      time.Duration // see SetLapseTime
	unavailable    bool          // the store does not answer
	lastContact    time.Duration // before the store became unavailable
	availableSince time.Duration // end of the last outage in which entries may have lapsed
	hadOutage      bool
	updates        uint64 // single entries and complete lists received so far
}

// New returns an empty table.
func New() *Table {
	return &Table{records: make(map[string]*record)}
}

// Put adds or updates an entry. It reports whether anything changed. A removed endpoint is
// added again also by its last entry, as an entry may be deleted and written again unchanged,
// unless it was removed before a restore of the store.
func (t *Table) Put(e Entry) bool {
	t.updates++
	return t.put(e)
}

// PutStored is like Put for an entry that another node passes on.
func (t *Table) PutStored(now time.Duration, e StoredEntry) bool {
	t.updates++
	return t.putStored(now, e)
}

func (t *Table) putStored(now time.Duration, e StoredEntry) bool {
	if e.Kept {
		return t.Keep(now, e.Entry)
	}
	return t.put(e.Entry)
}

func (t *Table) put(e Entry) bool {
	r, known := t.records[e.ID]
	if !known {
		r = &record{}
		r.recordPublished(&e, t.updates)
		r.entry, r.present = e, true
		t.records[e.ID] = r
		return true
	}
	if e.olderThan(&r.entry) || r.removed() && r.final && !r.entry.olderThan(&e) {
		return false
	}
	if e.StartedMs == r.entry.StartedMs {
		e.Leaving = e.Leaving || r.entry.Leaving
	}
	changed := !r.present || r.pending || r.hidden || !r.entry.EqualExceptSequence(e)
	r.recordPublished(&e, t.updates)
	r.entry, r.present, r.pending, r.final = e, true, false, false
	return changed
}

// EqualExceptSequence reports whether the entries are equal apart from Sequence, which
// changes with every heartbeat.
func (e Entry) EqualExceptSequence(other Entry) bool {
	e.Sequence = other.Sequence
	return e == other
}

// Remove records that an entry is no longer in the store. It reports whether anything
// changed.
func (t *Table) Remove(now time.Duration, id string) bool {
	r, known := t.records[id]
	if !known || !r.present || r.pending {
		return false
	}
	if t.hadOutage && now-t.availableSince < republishGrace {
		r.pending = true
		r.deadline = t.availableSince + republishGrace
		return false
	}
	r.markRemoved(now)
	return true
}

// RemoveWithoutGrace records that an entry is no longer in the store and will not be republished,
// as another node reports that has waited for it if necessary. It reports whether anything
// changed.
func (t *Table) RemoveWithoutGrace(now time.Duration, id string) bool {
	r, known := t.records[id]
	if !known || r.removed() {
		return false
	}
	r.markRemoved(now)
	return true
}

func (r *record) markRemoved(now time.Duration) {
	r.pending, r.present = false, false
	r.deadline = now + removedRetention
}

// Replace applies the complete list of entries of the store. It reports whether anything changed.
func (t *Table) Replace(now time.Duration, all []Entry) bool {
	stored := make([]StoredEntry, 0, len(all))
	for _, e := range all {
		stored = append(stored, StoredEntry{Entry: e})
	}
	return t.ReplaceStored(now, stored)
}

// ReplaceStored applies the complete list of entries of another node, which may keep some that are missing
// from the store. It reports whether anything changed.
func (t *Table) ReplaceStored(now time.Duration, all []StoredEntry) bool {
	changed := false
	t.updates++
	listed := make(map[string]bool, len(all))
	for _, e := range all {
		listed[e.ID] = true
		changed = t.putStored(now, e) || changed
	}
	for id := range t.records {
		if !listed[id] {
			changed = t.Remove(now, id) || changed
		}
	}
	return changed
}

// FinalizeRemoved records that the store may hold entries from before removals known so far.
// Only newer entries add these endpoints again.
func (t *Table) FinalizeRemoved() {
	for _, r := range t.records {
		r.final = r.removed()
	}
}

// KnowsRemoval reports whether the endpoint of an entry was removed when it had published that entry or a
// later one.
func (t *Table) KnowsRemoval(e Entry) bool {
	r, known := t.records[e.ID]
	return known && r.removed() && !r.entry.olderThan(&e)
}

// Removal is the removal of an endpoint as one node reports it to another.
type Removal struct {
	// Entry is the last known entry of the endpoint.
	Entry Entry
	// Final says that only a newer entry adds the endpoint again.
	Final bool
}

// MergeRemoval records the removal of an endpoint as reported by another node. It reports
// whether anything changed. A newer entry of the endpoint is kept.
func (t *Table) MergeRemoval(now time.Duration, removal Removal) bool {
	e := removal.Entry
	r, known := t.records[e.ID]
	if known && e.olderThan(&r.entry) {
		return false
	}
	if known && r.removed() {
		r.final = r.final || removal.Final
		return false
	}
	t.records[e.ID] = &record{entry: e, deadline: now + removedRetention, final: removal.Final}
	return known
}

// Removed returns the removals, for nodes that do not know of them.
func (t *Table) Removed() []Removal {
	var removed []Removal
	for _, r := range t.records {
		if r.removed() {
			removed = append(removed, Removal{Entry: r.entry, Final: r.final})
		}
	}
	return removed
}

// StoredEntry is an entry as a node passes it on to others.
type StoredEntry struct {
	Entry
	// Kept says that the entry is missing from the store, and is kept as it may be republished.
	Kept bool
}

// Stored returns the entries that are in the store or may be republished, of all services,
// apart from those that the last call of Live refuted.
func (t *Table) Stored() []StoredEntry {
	stored := make([]StoredEntry, 0, len(t.records))
	for _, r := range t.records {
		if r.present && !r.refuted {
			stored = append(stored, StoredEntry{Entry: r.entry, Kept: r.pending})
		}
	}
	return stored
}

// Expire removes the entries that were not republished within the grace, and drops
// removed ones after their retention. It reports whether any entry was removed.
func (t *Table) Expire(now time.Duration) bool {
	changed := false
	for id, r := range t.records {
		switch {
		case now < r.deadline:
		case r.pending:
			r.markRemoved(now)
			changed = true
		case r.removed():
			delete(t.records, id)
		}
	}
	return changed
}
