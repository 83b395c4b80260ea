// Package idempotency keeps the records with which one node, the home of a
// non-idempotent request, ensures that the request runs at most once.
//
// A record is created before the first run and is kept for longer than any token is
// valid, so a resend always finds it. A full table refuses new requests; it never
// drops a record that a resend could still need.
package idempotency

import "time"

// Key identifies one request: the ID in a token, or the hash of a caller's key.
type Key [16]byte

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts on a request that reaches its home.
const (
	// VerdictRun starts the request: its key is new.
	VerdictRun Verdict = iota
	// VerdictWait waits for the run in progress.
	VerdictWait
	// VerdictReplay returns the recorded outcome.
	VerdictReplay
	// VerdictFull refuses the request: the table has no room for a further record.
	VerdictFull
	// VerdictMismatch refuses the request: the key belongs to a request with other
	// content.
	VerdictMismatch
	// VerdictExpired refuses the request: its token is no longer valid.
	VerdictExpired
	// VerdictProcessTooNew refuses the request: the key may be older than this process,
	// so an earlier process at the same address may have run the request.
	VerdictProcessTooNew
)

// State is the state of a recorded request.
type State uint8

// The states of a record.
const (
	// StateRunning means that the request was started.
	StateRunning State = iota
	// StateAnswered means that the request ran and has an answer.
	StateAnswered
	// StateNotRun means that the request has not run and never will.
	StateNotRun
	// StateUnknown means that it cannot be determined whether the request ran.
	StateUnknown
)

// Record holds the state of one request at its home. A is the type of the answer.
type Record[A any] struct {
	// State is the state of the request.
	State State
	// Fingerprint identifies the request's content.
	Fingerprint uint64
	// Answer is the outcome to return to resends. It is not set while running.
	Answer A
	// expires is the time since the start of the process at which the record may be
	// dropped.
	expires time.Duration
}

// Config holds the limits of a table.
type Config struct {
	// RecordsMax is the maximum number of records.
	RecordsMax int
	// Lifetime is the validity of a token. A record is kept for twice that time
	// after its last change.
	Lifetime time.Duration
}

// Table holds the records of one home. It is not safe for concurrent use.
type Table[A any] struct {
	config   Config
	records  map[Key]*Record[A]
	expiries []expiry // sorted by time
	onDrop   func(answer A)
}

type expiry struct {
	key Key
	at  time.Duration
}

// NewTable returns an empty table.
func NewTable[A any](c Config) *Table[A] {
	return &Table[A]{config: c, records: make(map[Key]*Record[A]), onDrop: func(A) {}}
}

// OnDrop sets the function that is called with the answer of each dropped record.
func (t *Table[A]) OnDrop(f func(answer A)) {
	t.onDrop = f
}

// SetConfig replaces the limits. The lifetime is never shortened, so that existing
// records are kept long enough.
func (t *Table[A]) SetConfig(c Config) {
	c.Lifetime = max(c.Lifetime, t.config.Lifetime)
	t.config = c
}

// Len returns the number of records.
func (t *Table[A]) Len() int {
	return len(t.records)
}

// Begin decides on a request that reaches its home, and records it when the
// verdict is VerdictRun. The record is returned with every verdict that is based
// on one.
func (t *Table[A]) Begin(now time.Duration, k Key, fingerprint uint64) (Verdict, *Record[A]) {
	t.dropExpired(now)
	if r, ok := t.records[k]; ok {
		return recordVerdict(r, fingerprint), r
	}
	if len(t.records) >= t.config.RecordsMax {
		return VerdictFull, nil
	}
	r := &Record[A]{State: StateRunning, Fingerprint: fingerprint}
	t.records[k] = r
	t.extend(now, k, r)
	return VerdictRun, r
}

// UnknownFingerprint is the fingerprint of a request that was fenced before the request
// itself was received.
const UnknownFingerprint = 0

func recordVerdict[A any](r *Record[A], fingerprint uint64) Verdict {
	unknown := r.Fingerprint == UnknownFingerprint
	switch {
	case r.Fingerprint != fingerprint && !unknown:
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
	t.extend(now, k, r)
}

// Fence ensures that a request that has not been started never will be. It returns
// the record; a request that has been started keeps its state. It returns nil when
// the table is full: the request may then still be started.
func (t *Table[A]) Fence(now time.Duration, k Key, fingerprint uint64, answer A) *Record[A] {
	verdict, r := t.Begin(now, k, fingerprint)
	if verdict == VerdictRun {
		t.Finish(now, k, StateNotRun, answer)
	}
	return r
}

// extend keeps a record for two further lifetimes.
func (t *Table[A]) extend(now time.Duration, k Key, r *Record[A]) {
	r.expires = now + 2*t.config.Lifetime
	t.expiries = append(t.expiries, expiry{key: k, at: r.expires})
}

// dropExpired drops the records that no resend can need any more. A record in
// StateRunning is extended instead.
func (t *Table[A]) dropExpired(now time.Duration) {
	for len(t.expiries) > 0 && t.expiries[0].at <= now {
		first := t.expiries[0]
		t.expiries = t.expiries[1:]
		r, ok := t.records[first.key]
		if !ok || r.expires > first.at {
			continue
		}
		if r.State == StateRunning {
			t.extend(now, first.key, r)
			continue
		}
		delete(t.records, first.key)
		t.onDrop(r.Answer)
	}
}

// Get returns the record of a key, or nil.
func (t *Table[A]) Get(k Key) *Record[A] {
	return t.records[k]
}
