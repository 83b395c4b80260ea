// Package quarantine decides which requests are refused for a time because endpoints
// crashed while running them. It handles a request that crashes every endpoint that
// runs it and is sent again under new IDs: without quarantine, one such request takes
// down a service.
//
// Every request in flight when an endpoint crashes becomes a suspect, identified by its
// content. A suspect that later runs to completion is cleared; this applies to nearly
// all requests that were in flight by coincidence. A content that was in flight at
// several crashes and has not completed since is held back, for longer with each
// further crash. Crashes at the same moment, of runs that had begun before any of them was
// known, count as one: a content that many clients send is in flight at several endpoints,
// which may crash together for another reason.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// lossesMax is the number of crashes after which a content is held back. The
	// product guarantees the same bound for its own callers (decision/suspect).
	lossesMax = 2
	// holdMin is the first hold time. It gives endpoints that crash repeatedly a
	// period without the content.
	holdMin = 10 * time.Minute
	// holdGrowth is the factor by which each further crash extends the hold time. The
	// platform allows three attempts after the third crash; they fall within two
	// hours, a day and eight days of the first crash.
	holdGrowth = 10
	// holdMax bounds the hold time, since a deployment usually outlives its faults.
	holdMax = 30 * 24 * time.Hour
	// sameMoment is the time within which crashes of first runs count as one. Nodes learn of
	// a crash in less.
	sameMoment = 500 * time.Millisecond
	// retention is the time for which a content that is not held back is kept.
	retention = holdMin
	// contentsMax bounds the memory of a node to about 1 MB.
	contentsMax = 4096
	// evictionDivisor sets how much of a full ledger is evicted at once, one content in
	// evictionDivisor, so that not every new content triggers a search for the oldest.
	evictionDivisor = 16
	// lossesPerContentMax bounds the crashes kept for one content.
	lossesPerContentMax = 8
)

// Loss records that an endpoint crashed while running a request.
type Loss struct {
	// Fingerprint is the fingerprint of the request's content.
	Fingerprint uint64
	// CrashID is the ID of the crash.
	CrashID uint64
	// Age is the time since the crash.
	Age time.Duration
	// Completed says that an endpoint has run the content to completion since the
	// crash.
	Completed bool
	// First says that the run had begun before another loss of the content was known.
	First bool
}

// Ledger holds the losses known to one node. Ledgers converge in whatever order nodes
// exchange their losses, because losses are only added and marked as completed. It is
// not safe for concurrent use.
type Ledger struct {
	contents map[uint64]crashLosses
	revision uint64
}

// crashLosses holds the losses of one content by the ID of the crash.
type crashLosses map[uint64]*loss

type loss struct {
	at        time.Duration
	completed bool
	first     bool
	revision  uint64 // of the ledger, at the last change
	local     bool   // the last change was made at this node
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{contents: make(map[uint64]crashLosses)}
}

// RecordCrash records that an endpoint crashed while running a content. first says that the
// run had begun before another loss of the content was known.
func (l *Ledger) RecordCrash(now time.Duration, fingerprint, crash uint64, first bool) {
	l.record(now, Loss{Fingerprint: fingerprint, CrashID: crash, First: first}, true)
}

// Merge adds the losses reported by another node. It returns the contents that are held
// back as a result.
func (l *Ledger) Merge(now time.Duration, losses []Loss) (held []uint64) {
	for _, one := range losses {
		before := l.HoldRemaining(now, one.Fingerprint)
		l.record(now, one, false)
		if before == 0 && l.HoldRemaining(now, one.Fingerprint) > 0 {
			held = append(held, one.Fingerprint)
		}
	}
	return held
}

func (l *Ledger) record(now time.Duration, one Loss, local bool) {
	c := l.contents[one.Fingerprint]
	if c == nil {
		l.evictIfFull(now)
		c = make(crashLosses)
		l.contents[one.Fingerprint] = c
	}
	known := c[one.CrashID]
	switch {
	case known == nil:
		c.evictIfFull()
		known = &loss{at: now - one.Age}
		c[one.CrashID] = known
	case (known.completed || !one.Completed) && (known.first || !one.First):
		return // no change
	}
	known.completed = known.completed || one.Completed
	known.first = known.first || one.First
	l.markChanged(known, local)
}

func (l *Ledger) markChanged(one *loss, local bool) {
	l.revision++
	one.revision, one.local = l.revision, local
}

// RecordCompletion records that an endpoint ran a content to completion.
func (l *Ledger) RecordCompletion(fingerprint uint64) {
	for _, one := range l.contents[fingerprint] {
		if !one.completed {
			one.completed = true
			l.markChanged(one, true)
		}
	}
}

// HoldRemaining returns the time for which a content is still held back, or 0 if it is
// not.
func (l *Ledger) HoldRemaining(now time.Duration, fingerprint uint64) time.Duration {
	c := l.contents[fingerprint]
	holdTime := c.holdTime()
	if holdTime == 0 {
		return 0
	}
	return max(c.lastCrash()+holdTime-now, 0)
}

// CrashCount returns the number of crashes of a content since which it has not run to
// completion. Those of first runs at the same moment count as one.
func (l *Ledger) CrashCount(fingerprint uint64) int {
	return l.contents[fingerprint].crashCount()
}

// Losses returns all known losses of a content.
func (l *Ledger) Losses(now time.Duration, fingerprint uint64) []Loss {
	return l.contents[fingerprint].appendLosses(nil, now, fingerprint, func(*loss) bool { return true })
}

// Revision returns the number of changes made to the ledger.
func (l *Ledger) Revision() uint64 {
	return l.revision
}

// ChangesSince returns the changes made at this node after a revision, or all known
// losses if the revision is 0.
func (l *Ledger) ChangesSince(now time.Duration, revision uint64) []Loss {
	wanted := func(one *loss) bool { return revision == 0 || one.local && one.revision > revision }
	var out []Loss
	for fingerprint, c := range l.contents {
		out = c.appendLosses(out, now, fingerprint, wanted)
	}
	return out
}

// Expire removes the contents whose retention is over. It reports whether any are left.
func (l *Ledger) Expire(now time.Duration) bool {
	maps.DeleteFunc(l.contents, func(_ uint64, c crashLosses) bool { return now >= c.expiry() })
	return len(l.contents) > 0
}

// evictIfFull removes the contents that expire first if the ledger is full.
func (l *Ledger) evictIfFull(now time.Duration) {
	if len(l.contents) < contentsMax || l.Expire(now) && len(l.contents) < contentsMax {
		return
	}
	byExpiry := slices.SortedFunc(maps.Keys(l.contents), func(a, b uint64) int {
		return cmp.Compare(l.contents[a].expiry(), l.contents[b].expiry())
	})
	for _, fingerprint := range byExpiry[:contentsMax/evictionDivisor] {
		delete(l.contents, fingerprint)
	}
}

// evictIfFull removes the oldest crash if the content has as many as may be kept.
func (c crashLosses) evictIfFull() {
	if len(c) < lossesPerContentMax {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(c)), func(a, b uint64) int { return cmp.Compare(c[a].at, c[b].at) })
	delete(c, oldest)
}

func (c crashLosses) crashCount() int {
	n := 0
	var firstRuns []time.Duration
	for _, one := range c {
		switch {
		case one.completed:
		case one.first:
			firstRuns = append(firstRuns, one.at)
		default:
			n++
		}
	}
	return n + moments(firstRuns)
}

// moments returns the number of spans of sameMoment that contain the given times.
func moments(times []time.Duration) int {
	n := 0
	var begunAt time.Duration
	slices.Sort(times)
	for _, at := range times {
		if n == 0 || at-begunAt >= sameMoment {
			begunAt = at
			n++
		}
	}
	return n
}

// holdTime returns the time for which the content is held back after its last crash.
func (c crashLosses) holdTime() time.Duration {
	n := c.crashCount()
	if n < lossesMax {
		return 0
	}
	holdTime := holdMin
	for ; n > lossesMax && holdTime < holdMax; n-- {
		holdTime *= holdGrowth
	}
	return min(holdTime, holdMax)
}

// lastCrash returns the time of the last crash.
func (c crashLosses) lastCrash() time.Duration {
	lastCrash := time.Duration(-1 << 63)
	for _, one := range c {
		lastCrash = max(lastCrash, one.at)
	}
	return lastCrash
}

// expiry returns the time at which the content is removed. A content that was held back
// is kept for the same time again after it is allowed.
func (c crashLosses) expiry() time.Duration {
	return c.lastCrash() + max(retention, 2*c.holdTime())
}

// appendLosses appends the losses of the content that match wanted.
func (c crashLosses) appendLosses(out []Loss, now time.Duration, fingerprint uint64, wanted func(*loss) bool) []Loss {
	for crash, one := range c {
		if wanted(one) {
			out = append(out, Loss{Fingerprint: fingerprint, CrashID: crash, Age: max(now-one.at, 0), Completed: one.completed, First: one.first})
		}
	}
	return out
}
