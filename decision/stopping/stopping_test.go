package stopping

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
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

// TestAdmit guards against a stopping node that accepts a late request which it then interrupts: only a
// deadline bounds how long a request takes.
func TestAdmit(t *testing.T) {
	const (
		limit   = 6 * time.Second
		begunAt = 100 * time.Second
		late    = begunAt + 3500*time.Millisecond
		parent  = begunAt + 5900*time.Millisecond
	)
	end := At(Announcing, begunAt, limit).EndsAt - answerTime
	tests := []struct {
		desc    string
		request Request
		want    Admission
	}{
		{"before the node refuses anything", Request{At: begunAt + 2800*time.Millisecond, Deadline: begunAt + time.Minute}, Admission{true, begunAt + time.Minute}},
		{"its deadline comes before the end", Request{At: late, Deadline: late + 1500*time.Millisecond, ExpiresAt: late + time.Minute}, Admission{true, late + 1500*time.Millisecond}},
		{"its deadline is the end", Request{At: late, Deadline: end, ExpiresAt: end}, Admission{true, end}},
		{"its deadline comes just after the end", Request{At: late, Deadline: end + 1, ExpiresAt: end + 1}, Admission{}},
		{"it is a call, and gets the time until the end", Request{At: late, Deadline: parent, ExpiresAt: parent}, Admission{true, end}},
		{"it is a call, whose deadline was rounded", Request{At: late, Deadline: parent - deadlineRounding, ExpiresAt: parent - deadlineRounding}, Admission{true, end}},
		{"it is a call that was some time on its way", Request{At: late, Deadline: parent + transferTime, ExpiresAt: parent + transferTime}, Admission{true, end}},
		{"it is a call of a route with a shorter timeout", Request{At: late, Deadline: end + time.Millisecond, ExpiresAt: parent}, Admission{true, end}},
		{"it expires earlier than what runs there", Request{At: late, Deadline: parent - deadlineRounding - 1, ExpiresAt: parent - deadlineRounding - 1}, Admission{}},
		{"it expires later than what runs there", Request{At: late, Deadline: parent + transferTime + 1, ExpiresAt: parent + transferTime + 1}, Admission{}},
		{"only its timeout coincides with what runs there", Request{At: late, Deadline: parent, ExpiresAt: parent + time.Second}, Admission{}},
		{"it is a call, when waiting ones are taken back", Request{At: begunAt + 5200*time.Millisecond, Deadline: parent, ExpiresAt: parent}, Admission{}},
		{"the stop has ended", Request{At: begunAt + 5900*time.Millisecond, Deadline: begunAt, ExpiresAt: begunAt}, Admission{}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			s := At(PhaseAt(test.request.At-begunAt, limit, 1), begunAt, limit)
			require.Equal(t, test.want, s.Admit(test.request, []time.Duration{late + 300*time.Millisecond, parent}))
		})
	}
	require.True(t, Stop{}.Admit(Request{At: late, Deadline: late + time.Hour}, nil).Accepted, "the node doesn't stop")
}

// TestLateRequestsEndBeforeTheStop checks for any request that what a stopping node accepts late is answered
// before the node interrupts it.
func TestLateRequestsEndBeforeTheStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]time.Duration{time.Second, 3 * time.Second, 6 * time.Second, time.Minute}).Draw(t, "limit")
		at := time.Duration(rapid.Int64Range(0, int64(limit)).Draw(t, "at"))
		expiresAt := at + time.Duration(rapid.Int64Range(0, int64(2*limit)).Draw(t, "expires in"))
		timeout := time.Duration(rapid.Int64Range(0, int64(2*limit)).Draw(t, "timeout"))
		parents := rapid.SliceOf(rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(2*limit)).Draw(t, "parent"))
		})).Draw(t, "parents")
		s := At(PhaseAt(at, limit, 1), 0, limit)
		a := s.Admit(Request{At: at, Deadline: min(expiresAt, at+timeout), ExpiresAt: expiresAt}, parents)
		if s.Phase >= Refusing && a.Accepted {
			require.LessOrEqual(t, a.Deadline+answerTime, s.EndsAt)
		}
	})
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
