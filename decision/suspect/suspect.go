// Package suspect decides which requests may have caused the crash of an endpoint, and
// how such requests may still run.
//
// When an endpoint crashes, every request in flight on it becomes a suspect. A node runs
// at most one suspect at a time. When an endpoint crashes while it runs a known suspect,
// the crash is attributed to that suspect alone. A request that crashed two endpoints is
// refused until its entry expires.
package suspect

import "time"

const (
	// lossesMax is the number of endpoints that one request may crash.
	lossesMax = 2
	// lifetime is the time for which the entry of a suspect is kept.
	lifetime = 10 * time.Minute
	// entriesMax is the maximum number of entries on one node.
	entriesMax = 4096
)

// Verdict says how a request may run.
type Verdict uint8

// The verdicts on a request.
const (
	// VerdictAllow lets the request run concurrently with others.
	VerdictAllow Verdict = iota
	// VerdictExclusive lets the request run while no other suspect runs on the node.
	VerdictExclusive
	// VerdictRefuse refuses the request.
	VerdictRefuse
)

type entry struct {
	losses          int
	completedLosses int // number of losses at the last completion on this node
	expires         time.Duration
}

// Table holds the suspects known to one node. It is not safe for concurrent use.
type Table struct {
	entries map[uint64]entry
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[uint64]entry)}
}

// Decide returns the verdict on a request. losses is the number of endpoints crashed by
// it as reported by other nodes.
func (t *Table) Decide(now time.Duration, fingerprint uint64, losses int) Verdict {
	completedLosses := 0
	if e, ok := t.entries[fingerprint]; ok && now < e.expires {
		losses = max(losses, e.losses)
		completedLosses = e.completedLosses
	}
	switch {
	case losses <= completedLosses:
		return VerdictAllow
	case losses >= lossesMax:
		return VerdictRefuse
	case losses > 0:
		return VerdictExclusive
	default:
		return VerdictAllow
	}
}

// RecordCrash attributes a crash of the local endpoint to requests. running holds the
// fingerprints in flight, suspects those of them that ran as suspects. It returns the
// fingerprints to which the crash is attributed.
func (t *Table) RecordCrash(now time.Duration, running, suspects []uint64) []uint64 {
	attributed := running
	if len(suspects) > 0 {
		attributed = suspects
	}
	for _, fingerprint := range attributed {
		t.addLoss(now, fingerprint)
	}
	return attributed
}

// Merge records the losses reported by another node.
func (t *Table) Merge(now time.Duration, fingerprint uint64, losses int) {
	e := t.entries[fingerprint]
	if now >= e.expires {
		e.losses = 0
	}
	if losses > e.losses {
		t.store(now, fingerprint, entry{losses: losses})
	}
}

// RecordCompletion records that a suspect ran to completion without a crash. This node
// no longer treats it as a suspect until it crashes another endpoint. losses is the
// number of endpoints crashed by it as reported by other nodes.
func (t *Table) RecordCompletion(now time.Duration, fingerprint uint64, losses int) {
	losses = max(losses, t.Losses(now, fingerprint))
	t.store(now, fingerprint, entry{losses: losses, completedLosses: min(losses, lossesMax-1)})
}

// Losses returns the number of endpoints crashed by a request, as known to this node.
func (t *Table) Losses(now time.Duration, fingerprint uint64) int {
	e, ok := t.entries[fingerprint]
	if !ok || now >= e.expires {
		return 0
	}
	return e.losses
}

func (t *Table) addLoss(now time.Duration, fingerprint uint64) {
	t.store(now, fingerprint, entry{losses: t.Losses(now, fingerprint) + 1})
}

func (t *Table) store(now time.Duration, fingerprint uint64, e entry) {
	if _, known := t.entries[fingerprint]; !known && len(t.entries) >= entriesMax {
		t.removeExpired(now)
	}
	if len(t.entries) >= entriesMax {
		return
	}
	e.expires = now + lifetime
	t.entries[fingerprint] = e
}

func (t *Table) removeExpired(now time.Duration) {
	for fingerprint, e := range t.entries {
		if now >= e.expires {
			delete(t.entries, fingerprint)
		}
	}
}
