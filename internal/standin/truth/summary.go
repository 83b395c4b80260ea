package truth

import (
	"cmp"
	"slices"
	"time"
)

// RunKey names one piece of work: a call of one request at one place of its
// tree of calls. Work that must not repeat has one run for each key.
type RunKey struct {
	// Request is the X-Request-Id.
	Request string
	// Method is the HTTP method.
	Method string
	// Path is the path of the call.
	Path string
	// Position is the place in the tree of calls.
	Position string
}

// Runs is how often one piece of work was started.
type Runs struct {
	RunKey
	// Count is the number of starts, on all VMs together.
	Count int
}

// CountRuns returns the starts of every piece of work, in a stable order.
func CountRuns(records []Record) []Runs {
	counts := map[RunKey]int{}
	for i := range records {
		r := &records[i]
		if r.Kind == Started {
			counts[RunKey{Request: r.Request, Method: r.Method, Path: r.Path, Position: r.Position}]++
		}
	}
	runs := make([]Runs, 0, len(counts))
	for key, count := range counts {
		runs = append(runs, Runs{RunKey: key, Count: count})
	}
	slices.SortFunc(runs, func(a, b Runs) int {
		return cmp.Or(
			cmp.Compare(a.Request, b.Request),
			cmp.Compare(a.Position, b.Position),
			cmp.Compare(a.Method, b.Method),
			cmp.Compare(a.Path, b.Path),
		)
	})
	return runs
}

// DuplicateRuns returns the pieces of work that were started more than once.
// counted selects the calls that must not repeat; nil selects all.
func DuplicateRuns(records []Record, counted func(RunKey) bool) []Runs {
	var doubles []Runs
	for _, r := range CountRuns(records) {
		if r.Count > 1 && (counted == nil || counted(r.RunKey)) {
			doubles = append(doubles, r)
		}
	}
	return doubles
}

// RequestTime is the endpoint time of one request.
type RequestTime struct {
	// Request is the X-Request-Id.
	Request string
	// Time is the time for which its calls held slots, on all VMs together.
	Time time.Duration
}

// EndpointTime returns the endpoint time of every request, ordered by request.
// Calls without an end, of a process that was killed, are not in it.
func EndpointTime(records []Record) []RequestTime {
	sums := map[string]time.Duration{}
	for i := range records {
		if records[i].ended() {
			sums[records[i].Request] += records[i].Run()
		}
	}
	times := make([]RequestTime, 0, len(sums))
	for request, sum := range sums {
		times = append(times, RequestTime{Request: request, Time: sum})
	}
	slices.SortFunc(times, func(a, b RequestTime) int { return cmp.Compare(a.Request, b.Request) })
	return times
}

// WastedTime compares endpoint time that was of no use with all of it.
type WastedTime struct {
	// Wasted is the endpoint time that helped no request.
	Wasted time.Duration
	// Total is all endpoint time.
	Total time.Duration
}

// Share returns Wasted/Total, or 0 when there was no work.
func (w WastedTime) Share() float64 {
	if w.Total == 0 {
		return 0
	}
	return float64(w.Wasted) / float64(w.Total)
}

// Wasted counts the endpoint time of requests that did not succeed.
func Wasted(records []Record, succeeded func(request string) bool) WastedTime {
	var w WastedTime
	for _, one := range EndpointTime(records) {
		w.Total += one.Time
		if !succeeded(one.Request) {
			w.Wasted += one.Time
		}
	}
	return w
}

// WastedAfterEnd counts the endpoint time spent on a request after it had ended
// for its caller. ended returns the wall clock of that end in nanoseconds since
// 1970, and false for a request that did not end. It takes wall clocks of one
// machine.
func WastedAfterEnd(records []Record, ended func(request string) (int64, bool)) WastedTime {
	var w WastedTime
	for i := range records {
		r := &records[i]
		if !r.ended() {
			continue
		}
		w.Total += r.Run()
		end, ok := ended(r.Request)
		if late := time.Duration(r.WallNs - end); ok && late > 0 {
			w.Wasted += min(late, r.Run())
		}
	}
	return w
}
