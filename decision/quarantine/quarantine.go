// Package quarantine decides which requests are held back because endpoints crashed
// while they ran them. It answers a request that crashes every endpoint that runs it and
// comes again under new IDs: without it one such request takes down a service.
//
// Every request that runs when an endpoint crashes is a suspect, by its content. A
// suspect that an endpoint runs to its end is excused, as nearly all are that were only
// there. One that was there at several crashes, and never ended well since, is held
// back; the time grows with each further crash.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// lossesMax is the number of endpoints that a content may crash until it is held
	// back. The product promises it for its own callers too (decision/suspect).
	lossesMax = 2
	// holdMin is the time for which a content is held back at first: endpoints that
	// crash again and again get that time to run undisturbed.
	holdMin = 10 * time.Minute
	// holdGrowth is the factor by which each further crash extends that time. The
	// platform allows three tries after the third crash; these come within two hours, a
	// day and eight days of the first one.
	holdGrowth = 10
	// holdMax bounds it, as deployments outlive their faults.
	holdMax = 30 * 24 * time.Hour
	// memory is the time for which a content that isn't held back is remembered.
	memory = holdMin
	// contentsMax bounds the memory of a node: some 1 MB.
	contentsMax = 4096
	// forgetShare is the part of a full ledger, one in forgetShare, that is forgotten at
	// once, so that not each new content has to look for the oldest.
	forgetShare = 16
	// lossesPerContent bounds the crashes that are remembered of one content.
	lossesPerContent = 8
)

// Loss is an endpoint that crashed while it ran a request.
type Loss struct {
	// Fingerprint is the fingerprint of the request's content.
	Fingerprint uint64
	// CrashID is the ID of the crash.
	CrashID uint64
	// Age is the time since the crash.
	Age time.Duration
	// Completed says that an endpoint has run the content to its end since.
	Completed bool
}

// Ledger holds the losses that one node knows of. Nodes that exchange them come to the
// same contents in whatever order news arrive: losses are only added and excused. It is
// not safe for concurrent use.
type Ledger struct {
	contents map[uint64]content
	revision uint64
}

// content is what is known of one content, by crash.
type content map[uint64]*loss

type loss struct {
	at       time.Duration
	excused  bool
	revision uint64 // of the ledger, at the last change
	own      bool   // the last change was made here
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{contents: make(map[uint64]content)}
}

// RecordCrash takes in that an endpoint crashed while it ran a content.
func (l *Ledger) RecordCrash(now time.Duration, fingerprint, crash uint64) {
	l.put(now, Loss{Fingerprint: fingerprint, CrashID: crash}, true)
}

// Merge takes in what another node knows. It returns the contents that are held back
// from now on.
func (l *Ledger) Merge(now time.Duration, losses []Loss) (held []uint64) {
	for _, one := range losses {
		before := l.HoldRemaining(now, one.Fingerprint)
		l.put(now, one, false)
		if before == 0 && l.HoldRemaining(now, one.Fingerprint) > 0 {
			held = append(held, one.Fingerprint)
		}
	}
	return held
}

func (l *Ledger) put(now time.Duration, one Loss, own bool) {
	c := l.contents[one.Fingerprint]
	if c == nil {
		l.makeRoom(now)
		c = make(content)
		l.contents[one.Fingerprint] = c
	}
	known := c[one.CrashID]
	switch {
	case known == nil:
		c.makeRoom()
		known = &loss{at: now - one.Age}
		c[one.CrashID] = known
	case known.excused || !one.Completed:
		return // nothing new
	}
	known.excused = one.Completed
	l.changed(known, own)
}

func (l *Ledger) changed(one *loss, own bool) {
	l.revision++
	one.revision, one.own = l.revision, own
}

// RecordCompletion takes in that an endpoint ran a content to its end.
func (l *Ledger) RecordCompletion(fingerprint uint64) {
	for _, one := range l.contents[fingerprint] {
		if !one.excused {
			one.excused = true
			l.changed(one, true)
		}
	}
}

// HoldRemaining returns the time for which a content is still held back, or 0.
func (l *Ledger) HoldRemaining(now time.Duration, fingerprint uint64) time.Duration {
	c := l.contents[fingerprint]
	hold := c.hold()
	if hold == 0 {
		return 0
	}
	return max(c.last()+hold-now, 0)
}

// CrashCount returns the number of losses of a content that aren't excused.
func (l *Ledger) CrashCount(fingerprint uint64) int {
	return l.contents[fingerprint].count()
}

// Losses returns what is known of a content.
func (l *Ledger) Losses(now time.Duration, fingerprint uint64) []Loss {
	return l.contents[fingerprint].losses(nil, now, fingerprint, func(*loss) bool { return true })
}

// Revision returns the number of changes so far.
func (l *Ledger) Revision() uint64 {
	return l.revision
}

// ChangesSince returns the changes made at this node after a revision, or everything that it
// knows if the revision is 0.
func (l *Ledger) ChangesSince(now time.Duration, revision uint64) []Loss {
	wanted := func(one *loss) bool { return revision == 0 || one.own && one.revision > revision }
	var out []Loss
	for fingerprint, c := range l.contents {
		out = c.losses(out, now, fingerprint, wanted)
	}
	return out
}

// Expire forgets what is too old. It reports whether anything is left.
func (l *Ledger) Expire(now time.Duration) bool {
	maps.DeleteFunc(l.contents, func(_ uint64, c content) bool { return now >= c.until() })
	return len(l.contents) > 0
}

// makeRoom forgets the contents that would be forgotten first, if the ledger is full.
func (l *Ledger) makeRoom(now time.Duration) {
	if len(l.contents) < contentsMax || l.Expire(now) && len(l.contents) < contentsMax {
		return
	}
	byTime := slices.SortedFunc(maps.Keys(l.contents), func(a, b uint64) int {
		return cmp.Compare(l.contents[a].until(), l.contents[b].until())
	})
	for _, fingerprint := range byTime[:contentsMax/forgetShare] {
		delete(l.contents, fingerprint)
	}
}

// makeRoom forgets the oldest crash of a content that has many.
func (c content) makeRoom() {
	if len(c) < lossesPerContent {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(c)), func(a, b uint64) int { return cmp.Compare(c[a].at, c[b].at) })
	delete(c, oldest)
}

func (c content) count() int {
	n := 0
	for _, one := range c {
		if !one.excused {
			n++
		}
	}
	return n
}

// hold returns the time for which the content is held back after its last crash.
func (c content) hold() time.Duration {
	n := c.count()
	if n < lossesMax {
		return 0
	}
	hold := holdMin
	for ; n > lossesMax && hold < holdMax; n-- {
		hold *= holdGrowth
	}
	return min(hold, holdMax)
}

// last returns the time of the last crash.
func (c content) last() time.Duration {
	last := time.Duration(-1 << 63)
	for _, one := range c {
		last = max(last, one.at)
	}
	return last
}

// until returns when the content is forgotten: after it has been allowed again for as
// long as it was held back.
func (c content) until() time.Duration {
	return c.last() + max(memory, 2*c.hold())
}

// losses appends the wanted losses of the content.
func (c content) losses(out []Loss, now time.Duration, fingerprint uint64, wanted func(*loss) bool) []Loss {
	for crash, one := range c {
		if wanted(one) {
			out = append(out, Loss{Fingerprint: fingerprint, CrashID: crash, Age: max(now-one.at, 0), Completed: one.excused})
		}
	}
	return out
}
