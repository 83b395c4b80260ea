package admission

import (
	"slices"
	"time"

	"github.com/galenacart/galenacart/decision/priority"
)

// queuedCall is one waiting call. It takes 32 bytes.
type queuedCall struct {
	id       ID
	deadline time.Duration
	arrived  time.Duration
	priority priority.Priority
}

// before reports whether call runs before other.
func (call *queuedCall) before(other *queuedCall) bool {
	if call.priority != other.priority {
		return call.priority.HigherThan(other.priority)
	}
	if call.deadline != other.deadline {
		return call.deadline < other.deadline
	}
	return call.id < other.id
}

// queue holds the waiting calls in ascending importance, so that removing the
// next call to run moves no other.
type queue struct {
	calls []queuedCall
}

func (q *queue) len() int {
	return len(q.calls)
}

// leastImportant returns the next call to shed. The queue must not be empty.
func (q *queue) leastImportant() *queuedCall {
	return &q.calls[0]
}

// mostImportant returns the next call to run. The queue must not be empty.
func (q *queue) mostImportant() *queuedCall {
	return &q.calls[len(q.calls)-1]
}

func (q *queue) popMostImportant() queuedCall {
	last := len(q.calls) - 1
	call := q.calls[last]
	q.calls = q.calls[:last]
	return call
}

// removeLeastImportant removes the n least important calls.
func (q *queue) removeLeastImportant(n int) {
	q.calls = slices.Delete(q.calls, 0, n)
}

// position returns the insertion index of call.
func (q *queue) position(call *queuedCall) int {
	low, high := 0, len(q.calls)
	for low < high {
		middle := (low + high) / 2
		if call.before(&q.calls[middle]) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// callsAhead returns the number of queued calls that run before call.
func (q *queue) callsAhead(call *queuedCall) int {
	return len(q.calls) - q.position(call)
}

func (q *queue) insert(call queuedCall) {
	q.calls = slices.Insert(q.calls, q.position(&call), call)
}

// replaceLeastImportant inserts call, removes the least important call and
// returns it. The queue must not be empty and call must run before the removed
// one.
func (q *queue) replaceLeastImportant(call queuedCall) queuedCall {
	evicted := q.calls[0]
	i := q.position(&call) - 1
	copy(q.calls, q.calls[1:i+1])
	q.calls[i] = call
	return evicted
}

// remove removes the call with the given ID if it is queued.
func (q *queue) remove(id ID) {
	for i := range q.calls {
		if q.calls[i].id == id {
			q.calls = slices.Delete(q.calls, i, i+1)
			return
		}
	}
}

// countExpired returns the number of calls to shed: the most important expired
// call and all less important ones.
func (q *queue) countExpired(expired func(call *queuedCall, ahead int) bool) int {
	last := len(q.calls) - 1
	for i := last; i >= 0; i-- {
		if expired(&q.calls[i], last-i) {
			return i + 1
		}
	}
	return 0
}
