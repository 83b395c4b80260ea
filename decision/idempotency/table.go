// Package idempotency keeps the records by which one node, the home of a
// non-idempotent request, makes sure that the request runs at most once.
//
// A record is made before the first run and is kept longer than any token can
// be used, so a resend always finds it. A full table refuses new work; it never
// drops a record that a resend could still ask for.
package idempotency

import "time"

// Key identifies one request: the ID in a token, or the hash of a caller's key.
type Key [16]byte

// Verdict says what to do with a request.
type Verdict uint8

// The verdicts on a request that reaches its home.
const (
	// VerdictRun starts the request: its key was never seen.
	VerdictRun Verdict = iota
	// VerdictWait waits for the run that is under way.
	VerdictWait
	// VerdictReplay repeats the recorded outcome.
	VerdictReplay
	// VerdictFull refuses the request: no further record can be kept.
	VerdictFull
	// VerdictMismatch refuses the request: the key belongs to another one.
	VerdictMismatch
	// VerdictExpired refuses the request: its token can't be used any more.
	VerdictExpired
	// VerdictProcessTooNew refuses the request: this process is younger than the key
	// may be, so an earlier process at its place may have run it.
	VerdictProcessTooNew
)

// State is where a recorded request stands.
type State uint8

// The states of a record.
const (
	// StateRunning means that the request was started.
	StateRunning State = iota
	// StateAnswered means that the request ran and has an answer.
	StateAnswered
	// StateNotRun means that the request was not run and never will be.
	StateNotRun
	// StateUnknown means that nobody can tell whether the request was run.
	StateUnknown
)

// Record is what the home knows of one request. A is the kept answer.
type Record[A any] struct {
	// State is where the request stands.
	State State
	// Fingerprint identifies the request's content.
	Fingerprint uint64
	// Answer is the outcome to repeat. It is meaningless while running.
	Answer A
	// expires is the process time at which the record may be dropped.
	expires time.Duration
}

// Config bounds a table.
type Config struct {
	// RecordsMax is the ceiling on records.
	RecordsMax int
	// Lifetime is the time for which a token may be used. A record is kept
	// twice as long after its last change.
	Lifetime time.Duration
}

// Table holds the records of one home. It is not safe for concurrent use.
type Table[A any] struct {
	config  Config
	records map[Key]*Record[A]
	oldest  []expiry // in the order of expires
	dropped func(answer A)
}

type expiry struct {
	key Key
	at  time.Duration
}

// NewTable returns an empty table.
func NewTable[A any](c Config) *Table[A] {
	return &Table[A]{config: c, records: make(map[Key]*Record[A]), dropped: func(A) {}}
}

// OnDrop sets what is called with the answer of each record that is dropped.
func (t *Table[A]) OnDrop(f func(answer A)) {
	t.dropped = f
}

// SetConfig replaces the bounds. Records that exist keep the longer lifetime.
func (t *Table[A]) SetConfig(c Config) {
	c.Lifetime = max(c.Lifetime, t.config.Lifetime)
	t.config = c
}

// Len returns the number of records.
func (t *Table[A]) Len() int {
	return len(t.records)
}

// Begin decides on a request that reaches its home, and records it when the
// verdict is VerdictRun. The record is returned for every verdict that rests
// on one.
func (t *Table[A]) Begin(now time.Duration, k Key, fingerprint uint64) (Verdict, *Record[A]) {
	t.sweep(now)
	if r, ok := t.records[k]; ok {
		return judge(r, fingerprint), r
	}
	if len(t.records) >= t.config.RecordsMax {
		return VerdictFull, nil
	}
	r := &Record[A]{State: StateRunning, Fingerprint: fingerprint}
	t.records[k] = r
	t.keep(now, k, r)
	return VerdictRun, r
}

// UnknownFingerprint stands for the content of a request that was fenced before it
// was seen.
const UnknownFingerprint = 0

func judge[A any](r *Record[A], fingerprint uint64) Verdict {
	unseen := r.Fingerprint == UnknownFingerprint
	switch {
	case r.Fingerprint != fingerprint && !unseen:
		return VerdictMismatch
	case r.State == StateRunning:
		return VerdictWait
	default:
		return VerdictReplay
	}
}

// Finish records the outcome of a request that was started.
func (t *Table[A]) Finish(now time.Duration, k Key, s State, answer A) {
	r, ok := t.records[k]
	if !ok || r.State != StateRunning {
		return
	}
	r.State = s
	r.Answer = answer
	t.keep(now, k, r)
}

// Fence makes sure that a request that was never started never will be. It
// returns the record; a request that was started keeps its state. It returns
// nil when the table is full: then nothing may be promised.
func (t *Table[A]) Fence(now time.Duration, k Key, fingerprint uint64, answer A) *Record[A] {
	verdict, r := t.Begin(now, k, fingerprint)
	if verdict == VerdictRun {
		t.Finish(now, k, StateNotRun, answer)
	}
	return r
}

// keep sets the time until which a record must be found.
func (t *Table[A]) keep(now time.Duration, k Key, r *Record[A]) {
	r.expires = now + 2*t.config.Lifetime
	t.oldest = append(t.oldest, expiry{key: k, at: r.expires})
}

// sweep drops records that no resend can ask for. A running record stays.
func (t *Table[A]) sweep(now time.Duration) {
	for len(t.oldest) > 0 && t.oldest[0].at <= now {
		first := t.oldest[0]
		t.oldest = t.oldest[1:]
		r, ok := t.records[first.key]
		if !ok || r.expires > first.at {
			continue
		}
		if r.State == StateRunning {
			t.keep(now, first.key, r)
			continue
		}
		delete(t.records, first.key)
		t.dropped(r.Answer)
	}
}

// Get returns the record of a key, or nil.
func (t *Table[A]) Get(k Key) *Record[A] {
	return t.records[k]
}
