package traffic

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/decision/idempotency"
	"github.com/galenacart/galenacart/internal/problem"
)

// attemptLifetime is the time for which other nodes can query the outcome of an
// attempt.
const attemptLifetime = 15 * time.Second

// Limits of a record table until the first catalogue is applied.
const (
	initialRecordsMax        = 1024
	initialAnswerBytesMax    = 64 << 10
	initialAnswerMemoryBytes = 1 << 20
)

// recordTable ensures that a non-idempotent call runs at most once, and keeps its
// outcome for resends and queries.
type recordTable struct {
	now func() time.Duration

	memoryBudget *memoryBudget

	mu             sync.Mutex
	table          *idempotency.Table[*answer]
	running        map[idempotency.Key]chan struct{} // closed when the call ends
	answerBytesMax int
	answerBytes    int64
}

// RecordTableState is the state of one table for status pages.
type RecordTableState struct {
	// Records is the number of records in the table.
	Records int `json:"records"`
	// AnswerBytes is the size of the stored answers, headers included.
	AnswerBytes int64 `json:"answerBytes"`
}

// memoryBudget limits the memory for the stored answers of several tables, in
// bytes.
type memoryBudget struct {
	used atomic.Int64
	max  atomic.Int64
}

func newMemoryBudget(bytes int64) *memoryBudget {
	b := &memoryBudget{}
	b.max.Store(bytes)
	return b
}

// reserve reserves memory for an answer and reports whether it was available.
func (b *memoryBudget) reserve(bytes int64) bool {
	if b.used.Add(bytes) <= b.max.Load() {
		return true
	}
	b.used.Add(-bytes)
	return false
}

func newRecordTable(now func() time.Duration, memory *memoryBudget) *recordTable {
	c := idempotency.Config{RecordsMax: initialRecordsMax, Lifetime: attemptLifetime}
	r := &recordTable{
		now:            now,
		table:          idempotency.NewTable[*answer](c),
		running:        make(map[idempotency.Key]chan struct{}),
		answerBytesMax: initialAnswerBytesMax,
		memoryBudget:   memory,
	}
	r.table.OnDrop(r.onDrop)
	return r
}

// onDrop releases the memory of a dropped answer. The table calls it while the
// lock is held.
func (r *recordTable) onDrop(a *answer) {
	if a != nil {
		r.answerBytes -= a.sizeBytes()
		r.memoryBudget.used.Add(-a.sizeBytes())
	}
}

func (r *recordTable) configure(count int, lifetime time.Duration, answerBytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.SetConfig(idempotency.Config{RecordsMax: count, Lifetime: lifetime})
	r.answerBytesMax = answerBytes
}

func (r *recordTable) state() RecordTableState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RecordTableState{Records: r.table.Len(), AnswerBytes: r.answerBytes}
}

// do runs a call at most once for its key. Later callers get the outcome of that
// run. The run continues when its first caller disconnects, so that a resend
// finds the outcome.
func (r *recordTable) do(ctx context.Context, k idempotency.Key, fingerprint uint64, run func() *answer) *answer {
	verdict, done := r.begin(k, fingerprint)
	switch verdict {
	case idempotency.VerdictRun:
		outcome := make(chan *answer, 1)
		go func() { outcome <- r.finish(k, run()) }()
		return r.firstAnswer(ctx, outcome)
	case idempotency.VerdictWait:
		return r.laterAnswer(ctx, k, done)
	case idempotency.VerdictReplay:
		return r.replay(k)
	case idempotency.VerdictMismatch:
		return problemAnswer(problem.New(problem.KindKeyReused, problem.NotExecuted, "the key came before with another request"))
	default:
		return problemAnswer(problem.New(problem.KindRecordsFull, problem.NotExecuted, "no further call can be recorded"))
	}
}

// firstAnswer waits for the outcome of a run on behalf of the caller that started
// it.
func (r *recordTable) firstAnswer(ctx context.Context, outcome chan *answer) *answer {
	select {
	case a := <-outcome:
		return a
	case <-ctx.Done():
		go func() { (<-outcome).close() }()
		return problemAnswer(problem.New(problem.KindTimeout, problem.ExecutionUnknown, "the call is still running"))
	}
}

// laterAnswer waits for the outcome of a run that another caller started.
func (r *recordTable) laterAnswer(ctx context.Context, k idempotency.Key, done chan struct{}) *answer {
	select {
	case <-done:
		return r.replay(k)
	case <-ctx.Done():
		return problemAnswer(problem.New(problem.KindTimeout, problem.ExecutionUnknown, "the call is still running"))
	}
}

func (r *recordTable) begin(k idempotency.Key, fingerprint uint64) (idempotency.Verdict, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	verdict, _ := r.table.Begin(r.now(), k, fingerprint)
	if verdict == idempotency.VerdictRun {
		r.running[k] = make(chan struct{})
	}
	return verdict, r.running[k]
}

// finish records the outcome of a run and returns the answer for the first caller.
func (r *recordTable) finish(k idempotency.Key, a *answer) *answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored := r.storedCopy(a)
	r.table.Finish(r.now(), k, stateOf(a), stored)
	close(r.running[k])
	delete(r.running, k)
	return a
}

// storedCopy returns the copy of an answer that is stored for resends.
func (r *recordTable) storedCopy(a *answer) *answer {
	switch {
	case a.problem != nil:
		return &answer{problem: a.problem, losses: a.losses, possibleCrash: a.possibleCrash}
	case !a.isComplete() || len(a.body) > r.answerBytesMax:
		return problemAnswer(problem.New(problem.KindAnswerInvalid, problem.Executed, "the call ran; its answer was too large to be kept"))
	case !r.memoryBudget.reserve(a.sizeBytes()):
		return problemAnswer(problem.New(problem.KindAnswerInvalid, problem.Executed, "the call ran; there was no room left to keep its answer"))
	default:
		r.answerBytes += a.sizeBytes()
		return &answer{status: a.status, header: a.header, body: a.body, declaredLength: a.declaredLength}
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
func (r *recordTable) replay(k idempotency.Key) *answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.table.Get(k)
	if record == nil || record.Answer == nil {
		return problemAnswer(problem.New(problem.KindHomeLost, problem.ExecutionUnknown, "the record is gone"))
	}
	replayed := *record.Answer
	return &replayed
}

// queryOrFence returns the outcome of a call that may have been started. If it was
// not started, it is fenced and will never start.
func (r *recordTable) queryOrFence(ctx context.Context, k idempotency.Key, fingerprint uint64) *answer {
	refusal := problemAnswer(problem.New(problem.KindConnectionLost, problem.NotExecuted, "the call never arrived and was fenced"))
	state, done, ok := r.fence(k, fingerprint, refusal)
	switch {
	case !ok:
		return problemAnswer(problem.New(problem.KindRecordsFull, problem.ExecutionUnknown, "no further call can be recorded"))
	case state == idempotency.StateRunning:
		return r.laterAnswer(ctx, k, done)
	default:
		return r.replay(k)
	}
}

// fence returns the state of a call, after fencing it with refusal if it was not
// started. It returns false when no further record fits.
func (r *recordTable) fence(k idempotency.Key, fingerprint uint64, refusal *answer) (idempotency.State, chan struct{}, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.table.Fence(r.now(), k, fingerprint, refusal)
	if record == nil {
		return 0, nil, false
	}
	return record.State, r.running[k], true
}

// lookup returns the outcome of a recorded call, or nil if there is no record of
// it.
func (r *recordTable) lookup(ctx context.Context, k idempotency.Key) *answer {
	r.mu.Lock()
	known := r.table.Get(k) != nil
	done := r.running[k]
	r.mu.Unlock()
	switch {
	case !known:
		return nil
	case done != nil:
		return r.laterAnswer(ctx, k, done)
	default:
		return r.replay(k)
	}
}
