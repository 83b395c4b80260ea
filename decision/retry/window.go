package retry

import "time"

// windowParts is the number of parts that a window is counted in.
const windowParts = 10

// ServiceBudget bounds the extra attempts towards one service to a share of its recent
// calls and a fixed allowance, both of one node, in any window of time. Calls
// count in the window, in the one before it, or half a window before, whichever
// has most: where fewer calls are let in because more attempts fail, those that
// are let in may be repeated. It is not safe for concurrent use.
type ServiceBudget struct {
	calls [2 * windowParts]int
	extra [windowParts]int
	at    int64
}

// advance moves to the part of the window that now lies in. span is the length
// of the window.
func (w *ServiceBudget) advance(now, span time.Duration) {
	at := int64(now / (span / windowParts))
	for range min(at-w.at, int64(len(w.calls))) {
		w.at++
		w.calls[w.at%int64(len(w.calls))] = 0
		w.extra[w.at%windowParts] = 0
	}
	w.at = at
}

// RecordCall counts the first attempt of a call.
func (w *ServiceBudget) RecordCall(now, span time.Duration) {
	w.advance(now, span)
	w.calls[w.at%int64(len(w.calls))]++
}

// Spend counts an extra attempt if every window that it lies in has room for it:
// ratio of the calls and the allowance.
func (w *ServiceBudget) Spend(now, span time.Duration, ratio, allowance float64) bool {
	w.advance(now, span)
	extra := 0
	for first := w.at; first > w.at-windowParts && first >= 0; first-- {
		extra += w.extra[first%windowParts]
		if float64(extra+1) > ratio*float64(w.most(first))+allowance {
			return false
		}
	}
	w.extra[w.at%windowParts]++
	return true
}

// most returns the calls that count for the window which begins with a part.
func (w *ServiceBudget) most(first int64) int {
	return max(
		w.sum(first, first+windowParts),
		w.sum(first-windowParts/2, first+windowParts/2),
		w.sum(first-windowParts, first),
	)
}

// sum returns the calls from a part on and before another one.
func (w *ServiceBudget) sum(from, to int64) int {
	sum := 0
	for at := max(from, 0); at < min(to, w.at+1); at++ {
		sum += w.calls[at%int64(len(w.calls))]
	}
	return sum
}
