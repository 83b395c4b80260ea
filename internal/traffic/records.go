package traffic

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/decision/idempotency"
	"github.com/galenacart/galenacart/internal/problem"
)

// attemptLifetime is the time for which another node may ask about an attempt.
const attemptLifetime = 15 * time.Second

// Bounds of a table before the first catalogue.
const (
	recordsBefore     = 1024
	answerBytesBefore = 64 << 10
	roomBefore        = 1 << 20
)

// records makes sure that a non-idempotent call runs at most once, and keeps
// its outcome for those who ask again.
type records struct {
	now func() time.Duration

	room *room

	mu          sync.Mutex
	table       *idempotency.Table[*answer]
	waiting     map[idempotency.Key]chan struct{}
	answerMax   int
	answerBytes int64
}

// RecordTableState is the state of one table for status pages.
type RecordTableState struct {
	// Records is the number of records.
	Records int `json:"records"`
	// AnswerBytes counts the bytes of kept answers, headers included.
	AnswerBytes int64 `json:"answerBytes"`
}

// room is the memory for the kept answers of several tables.
type room struct {
	used atomic.Int64
	max  atomic.Int64
}

func newRoom(bytes int64) *room {
	r := &room{}
	r.max.Store(bytes)
	return r
}

// take reports whether there is room for an answer, and takes it.
func (r *room) take(bytes int64) bool {
	if r.used.Add(bytes) <= r.max.Load() {
		return true
	}
	r.used.Add(-bytes)
	return false
}

func newRecords(now func() time.Duration, shared *room) *records {
	c := idempotency.Config{RecordsMax: recordsBefore, Lifetime: attemptLifetime}
	r := &records{
		now:       now,
		table:     idempotency.NewTable[*answer](c),
		waiting:   make(map[idempotency.Key]chan struct{}),
		answerMax: answerBytesBefore,
		room:      shared,
	}
	r.table.OnDrop(r.dropped)
	return r
}

// dropped takes a dropped answer out of the count. The table calls it while the
// caller of the table holds the lock.
func (r *records) dropped(a *answer) {
	if a != nil {
		r.answerBytes -= a.bytes()
		r.room.used.Add(-a.bytes())
	}
}

func (r *records) setBounds(count int, lifetime time.Duration, answerBytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.SetConfig(idempotency.Config{RecordsMax: count, Lifetime: lifetime})
	r.answerMax = answerBytes
}

func (r *records) state() RecordTableState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RecordTableState{Records: r.table.Len(), AnswerBytes: r.answerBytes}
}

// do runs a call at most once for its key. Whoever comes later gets the outcome
// of the one run. The run goes on when its first caller goes away, so that a
// resend finds the outcome.
func (r *records) do(ctx context.Context, k idempotency.Key, fingerprint uint64, run func() *answer) *answer {
	verdict, wait := r.begin(k, fingerprint)
	switch verdict {
	case idempotency.VerdictRun:
		first := make(chan *answer, 1)
		go func() { first <- r.finish(k, run()) }()
		return r.first(ctx, first)
	case idempotency.VerdictWait:
		return r.later(ctx, k, wait)
	case idempotency.VerdictReplay:
		return r.replay(k)
	case idempotency.VerdictMismatch:
		return failed(problem.New(problem.KindKeyReused, problem.NotExecuted, "the key came before with another request"))
	default:
		return failed(problem.New(problem.KindRecordsFull, problem.NotExecuted, "no further call can be recorded"))
	}
}

// first waits for the run on behalf of the one that started it.
func (r *records) first(ctx context.Context, outcome chan *answer) *answer {
	select {
	case a := <-outcome:
		return a
	case <-ctx.Done():
		go func() { (<-outcome).close() }()
		return failed(problem.New(problem.KindTimeout, problem.ExecutionUnknown, "the call is still running"))
	}
}

// later waits for a run that somebody else started.
func (r *records) later(ctx context.Context, k idempotency.Key, wait chan struct{}) *answer {
	select {
	case <-wait:
		return r.replay(k)
	case <-ctx.Done():
		return failed(problem.New(problem.KindTimeout, problem.ExecutionUnknown, "the call is still running"))
	}
}

func (r *records) begin(k idempotency.Key, fingerprint uint64) (idempotency.Verdict, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	verdict, _ := r.table.Begin(r.now(), k, fingerprint)
	if verdict == idempotency.VerdictRun {
		r.waiting[k] = make(chan struct{})
	}
	return verdict, r.waiting[k]
}

// finish records the outcome and returns it for the first caller.
func (r *records) finish(k idempotency.Key, a *answer) *answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.keep(a)
	r.table.Finish(r.now(), k, stateOf(a), kept)
	close(r.waiting[k])
	delete(r.waiting, k)
	return a
}

// keep returns the copy of an answer that resends get.
func (r *records) keep(a *answer) *answer {
	switch {
	case a.problem != nil:
		return &answer{problem: a.problem, losses: a.losses, doubt: a.doubt}
	case !a.whole() || len(a.body) > r.answerMax:
		return failed(problem.New(problem.KindAnswerInvalid, problem.Executed, "the call ran; its answer was too large to be kept"))
	case !r.room.take(a.bytes()):
		return failed(problem.New(problem.KindAnswerInvalid, problem.Executed, "the call ran; there was no room left to keep its answer"))
	default:
		r.answerBytes += a.bytes()
		return &answer{status: a.status, header: a.header, body: a.body, declared: a.declared}
	}
}

func stateOf(a *answer) idempotency.State {
	switch {
	case a.problem == nil || a.problem.Execution == problem.Executed:
		return idempotency.StateAnswered
	case a.problem.Execution == problem.NotExecuted:
		return idempotency.StateNotRun
	default:
		return idempotency.StateUnknown
	}
}

// replay returns a copy of the recorded outcome.
func (r *records) replay(k idempotency.Key) *answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.table.Get(k)
	if record == nil || record.Answer == nil {
		return failed(problem.New(problem.KindHomeLost, problem.ExecutionUnknown, "the record is gone"))
	}
	again := *record.Answer
	return &again
}

// ask returns the outcome of a call that may have been started. A call that was
// not started never will be.
func (r *records) ask(ctx context.Context, k idempotency.Key, fingerprint uint64) *answer {
	refusal := failed(problem.New(problem.KindConnectionLost, problem.NotExecuted, "the call never arrived and was fenced"))
	state, wait, ok := r.fence(k, fingerprint, refusal)
	switch {
	case !ok:
		return failed(problem.New(problem.KindRecordsFull, problem.ExecutionUnknown, "no further call can be recorded"))
	case state == idempotency.StateRunning:
		return r.later(ctx, k, wait)
	default:
		return r.replay(k)
	}
}

func (r *records) fence(k idempotency.Key, fingerprint uint64, refusal *answer) (idempotency.State, chan struct{}, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.table.Fence(r.now(), k, fingerprint, refusal)
	if record == nil {
		return 0, nil, false
	}
	return record.State, r.waiting[k], true
}

// recorded returns the outcome of a call that was started before, or nil when
// there is no record of it.
func (r *records) recorded(ctx context.Context, k idempotency.Key) *answer {
	r.mu.Lock()
	known := r.table.Get(k) != nil
	wait := r.waiting[k]
	r.mu.Unlock()
	switch {
	case !known:
		return nil
	case wait != nil:
		return r.later(ctx, k, wait)
	default:
		return r.replay(k)
	}
}
