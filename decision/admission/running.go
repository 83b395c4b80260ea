package admission

import (
	"time"

	"github.com/galenacart/galenacart/decision/capacity"
	"github.com/galenacart/galenacart/decision/priority"
)

// runningCall is one call in flight at the endpoint.
type runningCall struct {
	id           ID
	started      time.Duration
	limiterStart capacity.CallStart
	priority     priority.Priority
	cancelling   bool // cancellation was requested
	used         bool // false for a free element of runningCalls.calls
}

// runningCalls holds the calls in flight. It reuses the elements of removed
// calls, so that it does not allocate in steady state.
type runningCalls struct {
	indexByID   map[ID]int32
	calls       []runningCall
	freeIndices []int32
}

func newRunningCalls() runningCalls {
	return runningCalls{indexByID: make(map[ID]int32)}
}

func (r *runningCalls) len() int {
	return len(r.indexByID)
}

func (r *runningCalls) add(call runningCall) {
	call.used = true
	if len(r.freeIndices) == 0 {
		r.indexByID[call.id] = int32(len(r.calls))
		r.calls = append(r.calls, call)
		return
	}
	last := len(r.freeIndices) - 1
	i := r.freeIndices[last]
	r.freeIndices = r.freeIndices[:last]
	r.calls[i] = call
	r.indexByID[call.id] = i
}

// finish removes a call and returns it.
func (r *runningCalls) finish(id ID) (runningCall, bool) {
	i, known := r.indexByID[id]
	if !known {
		return runningCall{}, false
	}
	call := r.calls[i]
	r.calls[i] = runningCall{}
	r.freeIndices = append(r.freeIndices, i)
	delete(r.indexByID, id)
	return call, true
}
