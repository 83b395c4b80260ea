package admission

import (
	"time"

	"github.com/galenacart/galenacart/decision/capacity"
	"github.com/galenacart/galenacart/decision/priority"
)

// flight is one call at the endpoint.
type flight struct {
	id         ID
	started    time.Duration
	mark       capacity.CallStart
	priority   priority.Priority
	cancelling bool
	used       bool
}

// flights keeps the calls at the endpoint. Places are used again, so that the
// steady state allocates nothing.
type flights struct {
	index  map[ID]int32
	places []flight
	free   []int32
}

func newFlights() flights {
	return flights{index: make(map[ID]int32)}
}

func (f *flights) len() int {
	return len(f.index)
}

func (f *flights) add(one flight) {
	one.used = true
	if len(f.free) == 0 {
		f.index[one.id] = int32(len(f.places))
		f.places = append(f.places, one)
		return
	}
	last := len(f.free) - 1
	at := f.free[last]
	f.free = f.free[:last]
	f.places[at] = one
	f.index[one.id] = at
}

// take removes a call and returns it.
func (f *flights) take(id ID) (flight, bool) {
	at, known := f.index[id]
	if !known {
		return flight{}, false
	}
	one := f.places[at]
	f.places[at] = flight{}
	f.free = append(f.free, at)
	delete(f.index, id)
	return one, true
}
