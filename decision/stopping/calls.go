package stopping

import "time"

const (
	// deadlineRounding bounds how much earlier than the request that made it a call may expire: both
	// deadlines are passed on in whole milliseconds.
	deadlineRounding = 2 * time.Millisecond
	// transferTime bounds how much later the call may seem to expire, as both deadlines are passed on as
	// the time that remains when they are sent.
	transferTime = 5 * time.Millisecond
)

// isCall reports whether a request expires together with one that runs at the local endpoint, as the calls
// that it makes do. A request of a client may do so by chance.
func isCall(r Request, parents []time.Duration) bool {
	for _, deadline := range parents {
		if later := r.ExpiresAt - deadline; later >= -deadlineRounding && later <= transferTime {
			return true
		}
	}
	return false
}
