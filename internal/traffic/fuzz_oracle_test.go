package traffic

import (
	"fmt"
	"net/http"
	"strings"
)

// crashedMax is the number of endpoints that one request may crash.
const crashedMax = 2

// invariant is a property that must hold in every history.
type invariant uint8

const (
	invariantOnce         invariant = iota
	invariantVerdict                // execution state reported to callers
	invariantChildVerdict           // execution state reported to endpoints about their calls
	invariantWhole
	invariantBudget
	invariantCrashes
	invariantChainCrashes // by a request that reaches the endpoint through another one
	invariantPanic

	invariantCount
)

var invariantNames = [invariantCount]string{
	"once", "verdict", "child-verdict", "whole", "budget", "crashes", "chain-crashes", "panic",
}

// finding is one violation of an invariant.
type finding struct {
	invariant invariant
	text      string
}

// oracle checks the observations of a history against the invariants.
type oracle struct {
	observations *observations
	extra        int // runs that the network may have caused by repeated pieces
	byID         map[string][]*runEntry
	found        []finding
}

func checkHistory(h *history) []finding {
	h.observations.mu.Lock()
	defer h.observations.mu.Unlock()
	o := &oracle{observations: h.observations, extra: h.network.repeatCount(), byID: make(map[string][]*runEntry)}
	for _, r := range h.observations.runs {
		o.byID[r.id] = append(o.byID[r.id], r)
	}
	for i := range h.script.Requests {
		o.checkRuns(fmt.Sprint(i), &h.script.Requests[i])
	}
	for i := range h.observations.answers {
		a := &h.observations.answers[i]
		o.checkAnswer(a)
		h.tally.add("answer:" + answerClass(a))
	}
	for _, text := range h.observations.panics {
		o.addFinding(invariantPanic, "%s", text)
	}
	o.countReplays(h.tally)
	return o.found
}

func (o *oracle) addFinding(p invariant, format string, args ...any) {
	o.found = append(o.found, finding{invariant: p, text: fmt.Sprintf(format, args...)})
}

// checkRuns checks how often a request and its downstream calls ran.
func (o *oracle) checkRuns(id string, plan *requestPlan) {
	extra, crashed := 0, 0
	for runID, runs := range o.byID {
		if runID != id && !strings.HasPrefix(runID, id+"/") {
			continue
		}
		if plan.Method == "POST" && len(runs) > 1 {
			o.addFinding(invariantOnce, "request %s ran %d times", runID, len(runs))
		}
		extra += len(runs) - 1
		for _, r := range runs {
			if r.crashed {
				crashed++
			}
		}
	}
	if plan.Method == "GET" && extra > fuzzRetryBudget+o.extra {
		o.addFinding(invariantBudget, "request %s caused %d extra runs, the budget is %d", id, extra, fuzzRetryBudget)
	}
	if crashed > crashedMax {
		p := invariantCrashes
		if plan.Path == "/middle" {
			p = invariantChainCrashes
		}
		o.addFinding(p, "request %s crashed %d endpoints", id, crashed)
	}
}

// checkAnswer checks an answer against the recorded runs.
func (o *oracle) checkAnswer(a *answerEntry) {
	if a.err != nil {
		return
	}
	if a.ran == "no" {
		o.checkNotRun(a)
	}
	if a.ran == "yes" && len(o.byID[a.id]) == 0 {
		o.addFinding(verdictInvariant(a), "%s %s was reported as run with %s, but nothing ran", a.method, a.sending, a.kind)
	}
	if a.isComplete() && !o.matchesRun(a) {
		o.addFinding(invariantWhole, "answer to %s is not the complete answer of one of its runs: status %d, %d bytes %.80q", a.sending, a.status, len(a.body), a.body)
	}
}

// checkNotRun checks that no send before the answer ran, and after a fence none at
// all. Each send of a lookup is a separate call.
func (o *oracle) checkNotRun(a *answerEntry) {
	for _, r := range o.byID[a.id] {
		if a.method == http.MethodGet && r.sending != a.sending {
			continue
		}
		if a.fence || o.observations.sent[r.sending] < a.order {
			o.addFinding(verdictInvariant(a), "%s %s was reported as not run with %s, but run %d was caused by send %s", a.method, a.sending, a.kind, r.number, r.sending)
		}
	}
}

func verdictInvariant(a *answerEntry) invariant {
	if strings.Contains(a.id, "/") {
		return invariantChildVerdict
	}
	return invariantVerdict
}

// matchesRun reports whether an answer is the complete answer of a run of the
// request.
func (o *oracle) matchesRun(a *answerEntry) bool {
	for _, r := range o.byID[a.id] {
		if a.body == r.body && a.status == r.status {
			return true
		}
	}
	return false
}

func answerClass(a *answerEntry) string {
	switch {
	case a.err != nil:
		return "none"
	case a.kind == "":
		return "whole"
	case a.fence:
		return "fence-" + a.ran
	default:
		return a.ran + ":" + a.kind
	}
}

// countReplays counts answers of runs that were returned to several sends.
func (o *oracle) countReplays(t *tally) {
	seen := make(map[string]bool)
	for i := range o.observations.answers {
		a := &o.observations.answers[i]
		if !a.isComplete() {
			continue
		}
		if seen[a.body] {
			t.add("replayed")
		}
		seen[a.body] = true
	}
}
