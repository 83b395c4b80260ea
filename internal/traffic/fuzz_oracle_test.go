package traffic

import (
	"fmt"
	"net/http"
	"strings"
)

// crashedMax is the number of endpoints that one request may break.
const crashedMax = 2

// promise is one of the things that must always hold.
type promise uint8

const (
	promiseOnce         promise = iota
	promiseVerdict              // towards callers
	promiseChildVerdict         // towards endpoints, about their own calls
	promiseWhole
	promiseBudget
	promiseCrashes
	promiseChainCrashes // by a request that reaches the endpoint over another one
	promisePanic

	promiseCount
)

var promiseNames = [promiseCount]string{
	"once", "verdict", "child-verdict", "whole", "budget", "crashes", "chain-crashes", "panic",
}

// finding is one broken promise.
type finding struct {
	promise promise
	text    string
}

// oracle judges a history by what endpoints and callers saw.
type oracle struct {
	ledger *ledger
	extra  int // runs that the network itself may have caused by repeats
	byID   map[string][]*runEntry
	found  []finding
}

func judgeHistory(h *history) []finding {
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	o := &oracle{ledger: h.ledger, extra: h.network.repeatCount(), byID: make(map[string][]*runEntry)}
	for _, r := range h.ledger.runs {
		o.byID[r.id] = append(o.byID[r.id], r)
	}
	for i := range h.script.Requests {
		o.judgeRuns(fmt.Sprint(i), &h.script.Requests[i])
	}
	for i := range h.ledger.answers {
		a := &h.ledger.answers[i]
		o.judgeAnswer(a)
		h.tally.add("answer:" + verdictOf(a))
	}
	for _, text := range h.ledger.panics {
		o.fault(promisePanic, "%s", text)
	}
	o.countReplays(h.tally)
	return o.found
}

func (o *oracle) fault(p promise, format string, args ...any) {
	o.found = append(o.found, finding{promise: p, text: fmt.Sprintf(format, args...)})
}

// judgeRuns checks how often a request and what it caused ran.
func (o *oracle) judgeRuns(id string, plan *requestPlan) {
	extra, crashed := 0, 0
	for runID, runs := range o.byID {
		if runID != id && !strings.HasPrefix(runID, id+"/") {
			continue
		}
		if plan.Method == "POST" && len(runs) > 1 {
			o.fault(promiseOnce, "request %s ran %d times", runID, len(runs))
		}
		extra += len(runs) - 1
		for _, r := range runs {
			if r.crashed {
				crashed++
			}
		}
	}
	if plan.Method == "GET" && extra > fuzzRetryBudget+o.extra {
		o.fault(promiseBudget, "request %s caused %d extra runs, the budget is %d", id, extra, fuzzRetryBudget)
	}
	if crashed > crashedMax {
		p := promiseCrashes
		if plan.Path == "/middle" {
			p = promiseChainCrashes
		}
		o.fault(p, "request %s broke %d endpoints", id, crashed)
	}
}

// judgeAnswer checks that an answer is true.
func (o *oracle) judgeAnswer(a *answerEntry) {
	if a.err != nil {
		return
	}
	if a.ran == "no" {
		o.judgeNotRun(a)
	}
	if a.ran == "yes" && len(o.byID[a.id]) == 0 {
		o.fault(verdictPromise(a), "%s %s was told %s run, but nothing ran", a.method, a.sending, a.kind)
	}
	if a.whole() && !o.isOwn(a) {
		o.fault(promiseWhole, "answer to %s is not its own whole one: status %d, %d bytes %.80q", a.sending, a.status, len(a.body), a.body)
	}
}

// judgeNotRun checks that nothing that was sent before the answer ran, and after
// a fence nothing at all. Each sending of a lookup is a call of its own.
func (o *oracle) judgeNotRun(a *answerEntry) {
	for _, r := range o.byID[a.id] {
		if a.method == http.MethodGet && r.sending != a.sending {
			continue
		}
		if a.fence || o.ledger.sent[r.sending] < a.order {
			o.fault(verdictPromise(a), "%s %s was told %s not run, but run %d by sending %s", a.method, a.sending, a.kind, r.number, r.sending)
		}
	}
}

func verdictPromise(a *answerEntry) promise {
	if strings.Contains(a.id, "/") {
		return promiseChildVerdict
	}
	return promiseVerdict
}

// isOwn reports whether an answer is the whole answer of a run of the request.
func (o *oracle) isOwn(a *answerEntry) bool {
	for _, r := range o.byID[a.id] {
		if a.body == r.body && a.status == r.status {
			return true
		}
	}
	return false
}

func verdictOf(a *answerEntry) string {
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

// countReplays counts runs whose answer reached several sendings.
func (o *oracle) countReplays(t *tally) {
	seen := make(map[string]bool)
	for i := range o.ledger.answers {
		a := &o.ledger.answers[i]
		if !a.whole() {
			continue
		}
		if seen[a.body] {
			t.add("replayed")
		}
		seen[a.body] = true
	}
}
