// Package suspect decides which requests may be to blame for the breakdown of
// an endpoint and what such a request may still do.
//
// An endpoint that breaks down makes every request in flight on it a suspect.
// A node runs at most one suspect at a time. When an endpoint breaks down
// while it runs a known suspect, only that suspect is blamed. A request that
// broke two endpoints is refused until the knowledge expires.
package suspect

import "time"

const (
	// lossesMax is the number of endpoints that one request may break.
	lossesMax = 2
	// lifetime is the time for which a suspect is remembered.
	lifetime = 10 * time.Minute
	// entriesMax bounds the memory of one node.
	entriesMax = 4096
)

// Verdict says what a request may do.
type Verdict uint8

// The verdicts on a request.
const (
	// VerdictAllow lets the request run beside others.
	VerdictAllow Verdict = iota
	// VerdictExclusive lets the request run while no other suspect runs here.
	VerdictExclusive
	// VerdictRefuse refuses the request.
	VerdictRefuse
)

type entry struct {
	losses  int
	cleared int // losses after which the request ran to its end here
	expires time.Duration
}

// Table remembers the suspects that one node knows of. It is not safe for
// concurrent use.
type Table struct {
	entries map[uint64]entry
}

// NewTable returns an empty book.
func NewTable() *Table {
	return &Table{entries: make(map[uint64]entry)}
}

// Decide returns the verdict on a request. losses is the number of endpoints
// lost to it that other nodes reported.
func (b *Table) Decide(now time.Duration, fingerprint uint64, losses int) Verdict {
	cleared := 0
	if e, ok := b.entries[fingerprint]; ok && now < e.expires {
		losses = max(losses, e.losses)
		cleared = e.cleared
	}
	switch {
	case losses <= cleared:
		return VerdictAllow
	case losses >= lossesMax:
		return VerdictRefuse
	case losses > 0:
		return VerdictExclusive
	default:
		return VerdictAllow
	}
}

// RecordCrash blames requests for a breakdown of the local endpoint. running holds
// the fingerprints in flight, suspects those of them that ran as suspects.
// It returns the blamed fingerprints.
func (b *Table) RecordCrash(now time.Duration, running, suspects []uint64) []uint64 {
	blamed := running
	if len(suspects) > 0 {
		blamed = suspects
	}
	for _, fingerprint := range blamed {
		b.blame(now, fingerprint)
	}
	return blamed
}

// Merge takes over the losses that another node reported.
func (b *Table) Merge(now time.Duration, fingerprint uint64, losses int) {
	e := b.entries[fingerprint]
	if now >= e.expires {
		e.losses = 0
	}
	if losses > e.losses {
		b.put(now, fingerprint, entry{losses: losses})
	}
}

// RecordCompletion takes in that a suspect ran to its end without breaking anything. It
// is none any more here until another endpoint is lost to it. losses is the
// number of endpoints lost to it that other nodes reported.
func (b *Table) RecordCompletion(now time.Duration, fingerprint uint64, losses int) {
	losses = max(losses, b.Losses(now, fingerprint))
	b.put(now, fingerprint, entry{losses: losses, cleared: min(losses, lossesMax-1)})
}

// Losses returns the endpoints lost to a request, as far as this node knows.
func (b *Table) Losses(now time.Duration, fingerprint uint64) int {
	e, ok := b.entries[fingerprint]
	if !ok || now >= e.expires {
		return 0
	}
	return e.losses
}

func (b *Table) blame(now time.Duration, fingerprint uint64) {
	b.put(now, fingerprint, entry{losses: b.Losses(now, fingerprint) + 1})
}

func (b *Table) put(now time.Duration, fingerprint uint64, e entry) {
	if _, known := b.entries[fingerprint]; !known && len(b.entries) >= entriesMax {
		b.sweep(now)
	}
	if len(b.entries) >= entriesMax {
		return
	}
	e.expires = now + lifetime
	b.entries[fingerprint] = e
}

func (b *Table) sweep(now time.Duration) {
	for fingerprint, e := range b.entries {
		if now >= e.expires {
			delete(b.entries, fingerprint)
		}
	}
}
