package admission

import (
	"slices"
	"time"

	"github.com/galenacart/galenacart/decision/priority"
)

// entry is one call that waits. It takes 32 bytes.
type entry struct {
	id       ID
	deadline time.Duration
	arrived  time.Duration
	priority priority.Priority
}

// before reports whether e is run before other.
func (e *entry) before(other *entry) bool {
	if e.priority != other.priority {
		return e.priority.Before(other.priority)
	}
	if e.deadline != other.deadline {
		return e.deadline < other.deadline
	}
	return e.id < other.id
}

// queue keeps the waiting calls sorted, the most important last, so that the
// next one to run leaves without moving the others.
type queue struct {
	entries []entry
}

func (q *queue) len() int {
	return len(q.entries)
}

// worst returns the call to shed next. The queue must not be empty.
func (q *queue) worst() *entry {
	return &q.entries[0]
}

// best returns the call to run next. The queue must not be empty.
func (q *queue) best() *entry {
	return &q.entries[len(q.entries)-1]
}

func (q *queue) popBest() entry {
	last := len(q.entries) - 1
	e := q.entries[last]
	q.entries = q.entries[:last]
	return e
}

// popWorst takes out the n least important calls.
func (q *queue) popWorst(n int) {
	q.entries = slices.Delete(q.entries, 0, n)
}

// position returns the index at which e belongs.
func (q *queue) position(e *entry) int {
	low, high := 0, len(q.entries)
	for low < high {
		middle := (low + high) / 2
		if e.before(&q.entries[middle]) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// ahead returns the number of calls that run before e.
func (q *queue) ahead(e *entry) int {
	return len(q.entries) - q.position(e)
}

func (q *queue) insert(e entry) {
	q.entries = slices.Insert(q.entries, q.position(&e), e)
}

// replaceWorst puts e in the place of the least important call, which it
// returns. The queue must not be empty and e must come before that call.
func (q *queue) replaceWorst(e entry) entry {
	worst := q.entries[0]
	at := q.position(&e) - 1
	copy(q.entries, q.entries[1:at+1])
	q.entries[at] = e
	return worst
}

// remove takes out the call with the given ID, if it waits.
func (q *queue) remove(id ID) {
	for i := range q.entries {
		if q.entries[i].id == id {
			q.entries = slices.Delete(q.entries, i, i+1)
			return
		}
	}
}

// overstayed returns how many of the least important calls are to go: the most
// important one that waits too long and all below it.
func (q *queue) overstayed(tooLong func(e *entry, ahead int) bool) int {
	last := len(q.entries) - 1
	for i := last; i >= 0; i-- {
		if tooLong(&q.entries[i], last-i) {
			return i + 1
		}
	}
	return 0
}
