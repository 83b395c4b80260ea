package truth

import (
	"cmp"
	"slices"
	"time"
)

// RunKey identifies a call by its request and its position in the call tree. A
// call that must not be repeated has one run for each key.
type RunKey struct {
	// Request is the X-Request-Id header.
	Request string
	// Method is the HTTP method.
	Method string
	// Path is the path of the call.
	Path string
	// Position is the position in the call tree.
	Position string
}

// Runs is the number of times a call was started.
type Runs struct {
	RunKey
	// Count is the number of starts across all VMs.
	Count int
}

// CountRuns counts the starts of every call, ordered by request, position, method
// and path.
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

// DuplicateRuns returns the calls that were started more than once. include
// selects the calls that must not be repeated; nil selects all.
func DuplicateRuns(records []Record, include func(RunKey) bool) []Runs {
	var duplicates []Runs
	for _, r := range CountRuns(records) {
		if r.Count > 1 && (include == nil || include(r.RunKey)) {
			duplicates = append(duplicates, r)
		}
	}
	return duplicates
}

// RequestTime is the endpoint time of one request: the total time for which its
// calls held slots.
type RequestTime struct {
	// Request is the X-Request-Id header.
	Request string
	// Time is the endpoint time across all VMs.
	Time time.Duration
}

// EndpointTime returns the endpoint time of every request, ordered by request. It
// excludes calls without an end record, whose process was killed.
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

// WastedTime holds the wasted and the total endpoint time.
type WastedTime struct {
	// Wasted is the endpoint time that contributed to no successful request.
	Wasted time.Duration
	// Total is the total endpoint time.
	Total time.Duration
}

// Share returns Wasted/Total, or 0 if Total is 0.
func (w WastedTime) Share() float64 {
	if w.Total == 0 {
		return 0
	}
	return float64(w.Wasted) / float64(w.Total)
}

// Wasted sums the endpoint time of unsuccessful requests.
func Wasted(records []Record, succeeded func(request string) bool) WastedTime {
	var w WastedTime
	for _, t := range EndpointTime(records) {
		w.Total += t.Time
		if !succeeded(t.Request) {
			w.Wasted += t.Time
		}
	}
	return w
}

// WastedAfterEnd sums the endpoint time spent on requests after they had ended for
// their callers. ended returns the wall clock at that end, in nanoseconds
// since 1970, and false for a request that did not end. All wall clocks must be
// those of one machine.
func WastedAfterEnd(records []Record, ended func(request string) (int64, bool)) WastedTime {
	var w WastedTime
	for i := range records {
		r := &records[i]
		if !r.ended() {
			continue
		}
		w.Total += r.Run()
		end, ok := ended(r.Request)
		if elapsed := time.Duration(r.WallNs - end); ok && elapsed > 0 {
			w.Wasted += min(elapsed, r.Run())
		}
	}
	return w
}
