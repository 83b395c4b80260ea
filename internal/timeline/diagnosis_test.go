package timeline

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// capturedLog is the output of four VMs. vm-1 runs root, whose call child fails: vm-3
// runs child, and its own call deep is refused.
const capturedLog = `
   1.0000 vm-1 {"level":"info","process":"node","vm":"vm-1","time":"2026-01-01T00:00:01.000000Z","clock":1,"event":1012,"name":"own_call_refused","correlation":"early","kind":"timeout"}
   1.3500 vm-1 {"level":"info","process":"node","vm":"vm-1","time":"2026-01-01T00:00:01.350000Z","clock":2,"event":1012,"name":"own_call_refused","correlation":"before","kind":"overloaded"}
   1.3800 vm-3 {"level":"info","process":"node","vm":"vm-3","time":"2026-01-01T00:00:01.380000Z","clock":2,"event":1012,"name":"own_call_refused","correlation":"deep","kind":"overloaded"}
   1.3900 vm-3 {"level":"info","process":"node","vm":"vm-3","time":"2026-01-01T00:00:01.390000Z","clock":3,"event":1011,"name":"endpoint_failed","correlation":"child","status":500,"took":"50ms"}
   1.4000 vm-1 {"level":"info","process":"node","vm":"vm-1","time":"2026-01-01T00:00:01.400000Z","clock":2,"event":1013,"name":"own_call_failed","correlation":"child","status":500}
   1.4000 vm-1 {"level":"info","process":"node","vm":"vm-1","time":"2026-01-01T00:00:01.400000Z","clock":3,"event":1001,"name":"call_refused","correlation":"other","kind":"overloaded"}
   1.4000 vm-2 {"level":"info","process":"node","vm":"vm-2","time":"2026-01-01T00:00:01.400000Z","clock":2,"event":1012,"name":"own_call_refused","correlation":"elsewhere","kind":"overloaded"}
   1.5000 vm-1 {"level":"info","process":"node","vm":"vm-1","time":"2026-01-01T00:00:01.500000Z","clock":4,"event":1011,"name":"endpoint_failed","correlation":"root","status":500,"took":"300ms"}
   1.6000 vm-4 {"level":"info","process":"node","vm":"vm-4","time":"2026-01-01T00:00:01.600000Z","clock":4,"event":1011,"name":"endpoint_failed","correlation":"alone","status":500,"took":"300ms"}
no event
`

func TestDiagnoseFollowsFailedCalls(t *testing.T) {
	l, err := Parse(strings.NewReader(capturedLog))
	require.NoError(t, err)
	require.Equal(t, 1, l.Skipped)
	tests := []struct {
		desc, id string
		want     []string // parts of the output, in order
		never    []string
	}{
		{
			desc: "failed call two VMs down the chain",
			id:   "root",
			want: []string{
				"vm-1 1011 endpoint_failed status=500 took=300ms\nfailed calls of the same endpoint during the request, the most likely cause last:\n",
				"\n  2026-01-01T00:00:01.350000Z vm-1 1012 own_call_refused",
				"\n  2026-01-01T00:00:01.390000Z vm-3 1011 endpoint_failed",
				"\n  2026-01-01T00:00:01.400000Z vm-1 1013 own_call_failed",
				"\n    2026-01-01T00:00:01.380000Z vm-3 1012 own_call_refused kind=overloaded\n",
			},
			never: []string{"00:00:01.000000Z", "vm-2"},
		},
		{
			desc: "endpoint without failed calls",
			id:   "alone",
			want: []string{"it failed by itself, or its node was stopped"},
		},
		{
			desc: "refusal",
			id:   "other",
			want: []string{"vm-1 1001 call_refused kind=overloaded\n"},
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var out strings.Builder
			require.NoError(t, Diagnose(l.Events, test.id).Write(&out))
			rest := out.String()
			for _, part := range test.want {
				index := strings.Index(rest, part)
				require.GreaterOrEqual(t, index, 0, "%q in %q", part, rest)
				rest = rest[index+len(part)-1:]
			}
			for _, part := range test.never {
				require.NotContains(t, out.String(), part)
			}
		})
	}
	require.True(t, Diagnose(l.Events, "unknown").Empty())
}
