package traffic

import (
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/idempotency"
	"github.com/galenacart/galenacart/internal/problem"
)

func TestAnswerBytesCountStoredAnswers(t *testing.T) {
	now := time.Duration(0)
	r := newRecordTable(func() time.Duration { return now }, newMemoryBudget(7))
	run := func(body string) func() *answer {
		return func() *answer {
			return &answer{status: 200, header: http.Header{"A": {"1"}}, body: []byte(body)}
		}
	}
	r.do(t.Context(), idempotency.Key{1}, 1, run("12345"))
	r.do(t.Context(), idempotency.Key{1}, 1, run("not run again"))
	require.EqualValues(t, 7, r.state().AnswerBytes)
	r.do(t.Context(), idempotency.Key{2}, 1, run("no room for this"))
	outcome := r.do(t.Context(), idempotency.Key{2}, 1, run("not run again")).problem
	require.Equal(t, problem.Executed, outcome.Execution, "the outcome is stored without the answer")
	require.Equal(t, RecordTableState{Records: 2, AnswerBytes: 7}, r.state())
	now = 2 * attemptLifetime
	r.do(t.Context(), idempotency.Key{3}, 1, run("123"))
	require.Equal(t, RecordTableState{Records: 1, AnswerBytes: 5}, r.state())
	require.EqualValues(t, 5, r.memoryBudget.used.Load())
}

// BenchmarkRecord records calls with a typical answer of 1 KiB. kept-B/op is the
// memory retained per record, and B/op the memory allocated while recording it.
func BenchmarkRecord(b *testing.B) {
	for _, tt := range []struct {
		desc    string
		records int
		room    int64
	}{{"answer", 1 << 30, 1 << 40}, {"outcome", 1 << 30, 0}, {"refused", 1, 0}} {
		b.Run(tt.desc, func(b *testing.B) {
			r := newRecordTable(func() time.Duration { return 0 }, newMemoryBudget(tt.room))
			r.configure(tt.records, time.Minute, 64<<10)
			before := heapBytes()
			b.ReportAllocs()
			for i := range b.N {
				var k idempotency.Key
				putUint64(k[:8], uint64(i))
				r.do(b.Context(), k, 1, func() *answer {
					h := http.Header{"Content-Type": {"application/json"}, "Date": {"Thu, 01 Jan 1970 00:00:00 GMT"}, "Content-Length": {"1024"}}
					return &answer{status: 200, header: h, body: make([]byte, 1024)}
				})
			}
			b.StopTimer()
			b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "kept-B/op")
			runtime.KeepAlive(r)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
