package retry

import (
	"math"
	"time"
)

const (
	// windowParts is the number of parts that a window is counted in.
	windowParts = 10
	// paceShare is the share of what is left of a budget that refused calls may take in
	// one part. A short trouble gets most of the budget, a long one never all of it at once.
	paceShare = 0.2
	// paceLeast is the number of attempts that no part goes under, so that a node with
	// few calls can still answer a moment's trouble.
	paceLeast = 3.0
	// wantedParts is the time over which wanted attempts are averaged, in parts: a few
	// calls of a usual chain.
	wantedParts = 0.5
)

// Window bounds the extra attempts towards one service to a share of its recent
// calls and a fixed allowance, both of one node, in any window of time. Calls
// count in the window, in the one before it, or half a window before, whichever
// has most: where fewer calls are let in because more attempts fail, those that
// are let in may be repeated. It is not safe for concurrent use.
type Window struct {
	calls [2 * windowParts]int
	extra [windowParts]int
	at    int64

	wanted   float64 // mean number of attempts wanted after refusals in the time of a part
	wantedAt time.Duration
}

// advance moves to the part of the window that now lies in. span is the length
// of the window.
func (w *Window) advance(now, span time.Duration) {
	at := int64(now / (span / windowParts))
	for range min(at-w.at, int64(len(w.calls))) {
		w.at++
		w.calls[w.at%int64(len(w.calls))] = 0
		w.extra[w.at%windowParts] = 0
	}
	w.at = at
}

// Call counts the first attempt of a call.
func (w *Window) Call(now, span time.Duration) {
	w.advance(now, span)
	w.calls[w.at%int64(len(w.calls))]++
}

// Budget bounds the extra attempts of one node towards a service.
type Budget struct {
	// Span is the length of the windows in which they are counted.
	Span time.Duration
	// Ratio is their share of the calls.
	Ratio float64
	// Allowance is a number of them beside that share.
	Allowance float64
}

// Spend counts an extra attempt if every window that it lies in has room for it.
func (w *Window) Spend(now time.Duration, b Budget) bool {
	w.advance(now, b.Span)
	if w.left(b) < 1 {
		return false
	}
	w.extra[w.at%windowParts]++
	return true
}

// SpendEvenly counts an extra attempt after a refusal if there is room for it, and if
// enough of the budget is then left for the rest of a window. It answers endpoints that refuse
// part of all calls for long. use is the number of attempts that were wanted of late, as
// a share of those that may be made.
func (w *Window) SpendEvenly(now time.Duration, b Budget) (granted bool, use float64) {
	w.advance(now, b.Span)
	w.want(now, b.Span)
	left := w.left(b)
	made := float64(w.extra[w.at%windowParts])
	whole := b.Ratio*float64(w.most(w.at-windowParts+1)) + b.Allowance
	share := max(whole/windowParts, paceShare*(left+made), paceLeast)
	use = w.wanted / min(share, max(left+made, 1))
	if left < 1 || made+1 > share {
		return false, use
	}
	w.extra[w.at%windowParts]++
	return true, use
}

// want counts a wanted attempt in the mean.
func (w *Window) want(now, span time.Duration) {
	kept := math.Exp(-float64(now-w.wantedAt) / (wantedParts * float64(span/windowParts)))
	w.wanted = w.wanted*kept + 1/wantedParts
	w.wantedAt = now
}

// left returns the extra attempts for which every window has room now.
func (w *Window) left(b Budget) float64 {
	left, extra := math.Inf(1), 0
	for first := w.at; first > w.at-windowParts && first >= 0; first-- {
		extra += w.extra[first%windowParts]
		left = min(left, b.Ratio*float64(w.most(first))+b.Allowance-float64(extra))
	}
	return left
}

// most returns the calls that count for the window which begins with a part.
func (w *Window) most(first int64) int {
	return max(
		w.sum(first, first+windowParts),
		w.sum(first-windowParts/2, first+windowParts/2),
		w.sum(first-windowParts, first),
	)
}

// sum returns the calls from a part on and before another one.
func (w *Window) sum(from, to int64) int {
	sum := 0
	for at := max(from, 0); at < min(to, w.at+1); at++ {
		sum += w.calls[at%int64(len(w.calls))]
	}
	return sum
}
