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
		{"at the start", 0, limit, 0, Announcing},
		{"idle before clients can be informed", 2 * time.Second, limit, 0, Announcing},
		{"calls of other nodes are refused first", 2300 * time.Millisecond, limit, 5, Draining},
		{"idle once clients are informed", 2600 * time.Millisecond, limit, 0, Finished},
		{"remaining clients are refused while accepted requests have time to finish", 3 * time.Second, limit, 1, Refusing},
		{"requests in flight keep running", 5 * time.Second, limit, 1, Refusing},
		{"requests that still wait are taken back", 5200 * time.Millisecond, limit, 1, Withdrawing},
		{"ready responses are no longer held up", 5300 * time.Millisecond, limit, 1, Concluding},
		{"before the platform kills the process", 5900 * time.Millisecond, limit, 1, Finished},
		{"a short stop keeps the order of the phases", 500 * time.Millisecond, time.Second, 3, Refusing},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			require.Equal(t, test.want, PhaseAt(test.since, test.limit, test.outstanding))
		})
	}
}

// The requests accepted last still have the duration of a long call before the end.
func TestAcceptedRequestsHaveTimeToFinish(t *testing.T) {
	const limit, longCall = 6 * time.Second, 2 * time.Second
	end := limit
	for at := limit; at > 0; at -= 10 * time.Millisecond {
		if PhaseAt(at, limit, 1) == Finished {
			end = at
		}
	}
	for at := time.Duration(0); at < end; at += 10 * time.Millisecond {
		if PhaseAt(at, limit, 1) < Refusing {
			require.Less(t, at+longCall, end)
		}
	}
}

// The last responses are written before the platform kills the process.
func TestLastResponsesAreWrittenBeforeTheLimit(t *testing.T) {
	for _, limit := range []time.Duration{200 * time.Millisecond, time.Second, 6 * time.Second, time.Minute} {
		end := limit
		for at := limit; at > 0; at -= limit / 100 {
			if PhaseAt(at, limit, 1) == Finished {
				end = at
			}
		}
		require.Positive(t, WriteTimeout(limit))
		require.Less(t, end+WriteTimeout(limit), limit)
	}
}

// TestAdmit checks that what a stopping node takes on late is answered before its end.
func TestAdmit(t *testing.T) {
	const (
		limit   = 6 * time.Second
		begunAt = 100 * time.Second
		late    = begunAt + 3500*time.Millisecond
		typical = 20 * time.Millisecond
	)
	tests := []struct {
		desc    string
		request Request
		want    bool
	}{
		{"before the node refuses anything", Request{At: begunAt + 2800*time.Millisecond, Deadline: begunAt + time.Minute}, true},
		{"its deadline comes before the end", Request{At: late, Deadline: late + 1500*time.Millisecond}, true},
		{"its deadline comes after the end", Request{At: late, Deadline: late + 2500*time.Millisecond}, false},
		{"nor is it a call, however short", Request{At: late, Deadline: late + 2500*time.Millisecond, Typical: typical}, false},
		{"it may be a call, and is short", Request{At: late, Deadline: late + 2500*time.Millisecond, Typical: typical, MayBeCall: true}, true},
		{"it may be a call, of unknown duration", Request{At: late, Deadline: late + 2500*time.Millisecond, MayBeCall: true}, false},
		{"it may be a call, and is long", Request{At: late, Deadline: late + 2500*time.Millisecond, Typical: 700 * time.Millisecond, MayBeCall: true}, false},
		{"it may be a call, when waiting ones are taken back", Request{At: begunAt + 5200*time.Millisecond, Deadline: begunAt + time.Minute, Typical: typical, MayBeCall: true}, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			s := At(PhaseAt(test.request.At-begunAt, limit, 1), begunAt, limit)
			a := s.Admit(test.request)
			require.Equal(t, test.want, a.Accepted)
			if a.StartBefore > 0 {
				require.Less(t, a.StartBefore+longCallFactor*typical, s.EndsAt)
				require.LessOrEqual(t, a.StartBefore, s.StartsBefore)
			}
		})
	}
	require.True(t, Stop{}.Admit(Request{At: late, Deadline: late + time.Hour}).Accepted, "the node doesn't stop")
}

// TestCallsOfOtherNodesEndBeforeTheStop checks the window of the local endpoint.
func TestCallsOfOtherNodesEndBeforeTheStop(t *testing.T) {
	const limit, begunAt = 6 * time.Second, 100 * time.Second
	w := At(Announcing, begunAt, limit).Window()
	require.True(t, w.Admits(begunAt+time.Second, 4*time.Second))
	require.False(t, w.Admits(begunAt+2*time.Second, 4*time.Second))
	require.False(t, w.Admits(begunAt+5200*time.Millisecond, 0), "waiting calls go back")
	require.False(t, Stop{}.Window().IsClosing())
}
