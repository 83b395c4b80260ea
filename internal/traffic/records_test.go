package traffic

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/idempotency"
)

func TestAnswerBytesFollowWhatIsKept(t *testing.T) {
	now := time.Duration(0)
	r := newRecords(func() time.Duration { return now })
	run := func(body string) func() *answer {
		return func() *answer { return &answer{status: 200, body: []byte(body)} }
	}
	r.do(t.Context(), idempotency.Key{1}, 1, run("12345"))
	r.do(t.Context(), idempotency.Key{1}, 1, run("not run again"))
	require.EqualValues(t, 5, r.state().AnswerBytes)
	now = 2 * attemptLifetime
	r.do(t.Context(), idempotency.Key{2}, 1, run("123"))
	require.Equal(t, TableState{Records: 1, AnswerBytes: 3}, r.state())
}
