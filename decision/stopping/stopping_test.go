package stopping

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPhases(t *testing.T) {
	const limit = 6 * time.Second
	tests := []struct {
		desc        string
		since       time.Duration
		limit       time.Duration
		outstanding int
		want        Phase
	}{
		{"the first moment", 0, limit, 0, Announcing},
		{"idle before clients can know", 2 * time.Second, limit, 0, Announcing},
		{"calls of other nodes end first", 2300 * time.Millisecond, limit, 5, Draining},
		{"idle once clients know", 2600 * time.Millisecond, limit, 0, Finished},
		{"clients that stay are refused while there is time for what was taken", 3 * time.Second, limit, 1, Refusing},
		{"what is in flight keeps its time", 5 * time.Second, limit, 1, Refusing},
		{"before the platform kills", 5900 * time.Millisecond, limit, 1, Finished},
		{"a short stop keeps the order", 500 * time.Millisecond, time.Second, 3, Refusing},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			require.Equal(t, test.want, PhaseAt(test.since, test.limit, test.outstanding))
		})
	}
}

// TestTakenRequestsHaveTime holds that whatever is taken last still has the time
// of a long call before the end.
func TestTakenRequestsHaveTime(t *testing.T) {
	const limit, long = 6 * time.Second, 2 * time.Second
	end := limit
	for at := limit; at > 0; at -= 10 * time.Millisecond {
		if PhaseAt(at, limit, 1) == Finished {
			end = at
		}
	}
	for at := time.Duration(0); at < end; at += 10 * time.Millisecond {
		if PhaseAt(at, limit, 1) < Refusing {
			require.Less(t, at+long, end)
		}
	}
}
