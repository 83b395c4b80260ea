package registry

import "time"

// republishGrace is the time after an outage of the store in which endpoints republish
// entries that expired during the outage.
const republishGrace = 2 * time.Second

// SetLapseTime sets the least time without contact with the store in which entries can lapse
// there. Shorter outages give no grace. It is 0 in a new table: any outage gives a grace.
func (t *Table) SetLapseTime(lapseTime time.Duration) {
	t.lapseTime = lapseTime
}

// MayHaveLapsed reports whether entries are known to lapse in a time without contact with the
// store.
func (t *Table) MayHaveLapsed(silence time.Duration) bool {
	return t.lapseTime > 0 && silence >= t.lapseTime
}

// MarkUnavailable records that the store does not answer, and when it was last known to.
func (t *Table) MarkUnavailable(lastContact time.Duration) {
	if !t.unavailable {
		t.unavailable, t.lastContact = true, lastContact
	}
}

// MarkAvailable records that the store answers.
func (t *Table) MarkAvailable(now time.Duration) {
	if !t.unavailable {
		return
	}
	t.unavailable = false
	if now-t.lastContact >= t.lapseTime {
		t.startGrace(now)
	}
}

// MarkRestored records that the store was restored from an older copy: entries missing
// from the copy get the same grace as those that expired during an outage.
func (t *Table) MarkRestored(now time.Duration) {
	t.FinalizeRemoved()
	t.startGrace(now)
}

func (t *Table) startGrace(now time.Duration) {
	t.availableSince, t.hadOutage = now, true
}

// Keep records that another node keeps an entry that is missing from the store. It reports whether
// anything changed. A node that knows of the removal does not add the endpoint again.
func (t *Table) Keep(now time.Duration, e Entry) bool {
	r, known := t.records[e.ID]
	switch {
	case !known:
		r = &record{}
		r.recordPublished(&e, t.updates)
		r.entry, r.present = e, true
		t.records[e.ID] = r
	case e.olderThan(&r.entry), r.removed() && !r.entry.olderThan(&e):
		return false
	case r.pending && !r.entry.olderThan(&e):
		return false
	default:
		e.Leaving = e.Leaving || r.present && e.StartedMs == r.entry.StartedMs && r.entry.Leaving
		r.recordPublished(&e, t.updates)
		r.entry, r.present, r.final = e, true, false
	}
	r.pending, r.deadline = true, now+republishGrace
	return true
}

// KeepKnown is like Keep for the last known entry of an endpoint.
func (t *Table) KeepKnown(now time.Duration, id string) bool {
	r, known := t.records[id]
	return known && r.present && t.Keep(now, r.entry)
}

// IsKept reports whether an endpoint is kept although its entry is missing from the store.
func (t *Table) IsKept(id string) bool {
	r, known := t.records[id]
	return known && r.pending
}
