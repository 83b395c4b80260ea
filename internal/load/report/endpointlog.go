package report

import (
	"fmt"
	"io"
	"time"

	"github.com/galenacart/galenacart/internal/load/outcome"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

// EndpointLogSummary holds the figures of a run from the endpoints' own logs.
type EndpointLogSummary struct {
	// Starts counts the calls that got a slot.
	Starts int `json:"starts"`
	// ExtraAttempts counts the calls received beyond the first for the same
	// position in the call tree of the same request.
	ExtraAttempts int `json:"extraAttempts"`
	// Requests counts the requests that reached an endpoint.
	Requests int `json:"requests"`
	// MaxExtraAttempts is the largest number of extra attempts of one request.
	MaxExtraAttempts int `json:"maxExtraAttempts"`
	// EndpointMs is the time for which calls held slots, in milliseconds.
	EndpointMs int64 `json:"endpointMs"`
	// WastedShare is the share of that time spent on requests whose callers did
	// not receive the complete answer in time.
	WastedShare float64 `json:"wastedShare"`
	// WastedAfterEndShare is the share of that time spent on requests that had
	// ended for their callers.
	WastedAfterEndShare float64 `json:"wastedAfterEndShare"`
	// DuplicateRuns counts the non-idempotent calls that were started more than
	// once.
	DuplicateRuns int `json:"doubleRuns"`
	// WrongNotRun counts the non-idempotent requests that were started although
	// their callers received the status not run.
	WrongNotRun int `json:"wrongNotRun"`
	// CallerKnowledge counts the non-idempotent requests by the status that their
	// callers received.
	CallerKnowledge CallerKnowledge `json:"told"`
	// Examples names a few requests of DuplicateRuns and WrongNotRun.
	Examples []string `json:"examples,omitempty"`
}

// CallerKnowledge counts the non-idempotent requests by the status that their
// callers received.
type CallerKnowledge struct {
	// Requests counts all of them.
	Requests int `json:"requests"`
	// Complete counts those answered completely and in time.
	Complete int `json:"whole"`
	// NotRun counts the others with the status not run.
	NotRun int `json:"notRun"`
	// Run counts the others with the status run.
	Run int `json:"run"`
	// Unknown counts the rest.
	Unknown int `json:"unknown"`
}

func newCallerKnowledge(all []outcome.Outcome) CallerKnowledge {
	var t CallerKnowledge
	for i := range all {
		o := &all[i]
		if o.Idempotent {
			continue
		}
		t.Requests++
		switch {
		case o.Result == outcome.Complete:
			t.Complete++
		case o.Ran == "no":
			t.NotRun++
		case o.Ran == "yes":
			t.Run++
		default:
			t.Unknown++
		}
	}
	return t
}

const maxExamples = 10

// callPosition is one position in the call tree of a request.
type callPosition struct {
	request, position, method, path string
}

// NewEndpointLogSummary compares the endpoints' logs with the outcomes at callers.
func NewEndpointLogSummary(records []truth.Record, all []outcome.Outcome) *EndpointLogSummary {
	byRequest := make(map[string]*outcome.Outcome, len(all))
	for i := range all {
		byRequest[all[i].Request] = &all[i]
	}
	t := &EndpointLogSummary{CallerKnowledge: newCallerKnowledge(all)}
	t.countAttempts(records, byRequest)
	t.countWaste(records, byRequest)
	t.countDuplicateRuns(records, byRequest)
	t.countWrongNotRun(records, all)
	return t
}

func (t *EndpointLogSummary) countAttempts(records []truth.Record, known map[string]*outcome.Outcome) {
	attempts := map[callPosition]int{}
	extraAttempts := map[string]int{} // by request
	for i := range records {
		r := &records[i]
		if known[r.Request] == nil {
			continue
		}
		switch r.Kind {
		case truth.Started:
			t.Starts++
		case truth.Received:
			p := callPosition{r.Request, r.Position, r.Method, r.Path}
			attempts[p]++
			if attempts[p] > 1 {
				extraAttempts[r.Request]++
				t.ExtraAttempts++
			} else if _, seen := extraAttempts[r.Request]; !seen {
				extraAttempts[r.Request] = 0
			}
		default:
		}
	}
	t.Requests = len(extraAttempts)
	for _, extra := range extraAttempts {
		t.MaxExtraAttempts = max(t.MaxExtraAttempts, extra)
	}
}

func (t *EndpointLogSummary) countWaste(records []truth.Record, known map[string]*outcome.Outcome) {
	succeeded := func(request string) bool {
		o := known[request]
		return o != nil && o.Result == outcome.Complete
	}
	ended := func(request string) (int64, bool) {
		o := known[request]
		if o == nil {
			return 0, false
		}
		return o.EndWallNs, true
	}
	waste := truth.Wasted(records, succeeded)
	t.EndpointMs = int64(waste.Total / time.Millisecond)
	t.WastedShare = waste.Share()
	t.WastedAfterEndShare = truth.WastedAfterEnd(records, ended).Share()
}

func (t *EndpointLogSummary) countDuplicateRuns(records []truth.Record, known map[string]*outcome.Outcome) {
	mustNotRepeat := func(k truth.RunKey) bool {
		o := known[k.Request]
		return o != nil && !o.Idempotent
	}
	for _, d := range truth.DuplicateRuns(records, mustNotRepeat) {
		t.DuplicateRuns++
		t.addExample("run twice: " + d.Request + " " + d.Method + " " + d.Path)
	}
}

func (t *EndpointLogSummary) countWrongNotRun(records []truth.Record, all []outcome.Outcome) {
	started := map[string]bool{} // requests whose root call was started
	for i := range records {
		if r := &records[i]; r.Kind == truth.Started && r.Position == "" {
			started[r.Request] = true
		}
	}
	for i := range all {
		o := &all[i]
		if !o.Idempotent && o.Ran == "no" && started[o.Request] {
			t.WrongNotRun++
			t.addExample("told not run, but run: " + o.Request)
		}
	}
}

func (t *EndpointLogSummary) addExample(text string) {
	if len(t.Examples) < maxExamples {
		t.Examples = append(t.Examples, text)
	}
}

// share returns a count and its share of all requests as text.
func (t *CallerKnowledge) share(count int) string {
	return fmt.Sprintf("%d (%.4f)", count, perRequest(count, t.Requests))
}

// WriteText writes the counts as readable text.
func (t *EndpointLogSummary) WriteText(w io.Writer) error {
	out := newTable(w)
	out.row("requests that reached an endpoint", fmt.Sprint(t.Requests))
	out.row("calls started", fmt.Sprint(t.Starts))
	out.row("extra attempts", fmt.Sprint(t.ExtraAttempts))
	out.row("most extra attempts of one request", fmt.Sprint(t.MaxExtraAttempts))
	out.row("endpoint time, ms", fmt.Sprint(t.EndpointMs))
	out.row("share of it without a whole answer", fmt.Sprintf("%.4f", t.WastedShare))
	out.row("share of it after the request's end", fmt.Sprintf("%.4f", t.WastedAfterEndShare))
	out.row("calls run twice that must not repeat", fmt.Sprint(t.DuplicateRuns))
	out.row("requests told not run that were run", fmt.Sprint(t.WrongNotRun))
	out.row("of " + fmt.Sprint(t.CallerKnowledge.Requests) + " requests that must not repeat")
	out.row("  whole and in time", t.CallerKnowledge.share(t.CallerKnowledge.Complete))
	out.row("  told not run", t.CallerKnowledge.share(t.CallerKnowledge.NotRun))
	out.row("  told run, without a whole answer in time", t.CallerKnowledge.share(t.CallerKnowledge.Run))
	out.row("  told unknown", t.CallerKnowledge.share(t.CallerKnowledge.Unknown))
	for _, example := range t.Examples {
		out.row(example)
	}
	return out.flush()
}
