package retry

import "time"

// windowParts is the number of parts that a window is counted in.
const windowParts = 10

// Window bounds the extra attempts towards one service to a share of its recent
// calls and a fixed allowance, both of one node, in any window of time. It is
// not safe for concurrent use.
type Window struct {
	parts [windowParts]part
	at    int64
}

type part struct {
	calls, extra int
}

// advance moves to the part of the window that now lies in. span is the length
// of the window.
func (w *Window) advance(now, span time.Duration) {
	at := int64(now / (span / windowParts))
	for range min(at-w.at, windowParts) {
		w.at++
		w.parts[w.at%windowParts] = part{}
	}
	w.at = at
}

// Call counts the first attempt of a call.
func (w *Window) Call(now, span time.Duration) {
	w.advance(now, span)
	w.parts[w.at%windowParts].calls++
}

// Spend counts an extra attempt if the window has room for it: ratio of the calls
// in the window and the allowance.
func (w *Window) Spend(now, span time.Duration, ratio, allowance float64) bool {
	w.advance(now, span)
	calls, extra := 0, 0
	for _, p := range w.parts {
		calls += p.calls
		extra += p.extra
	}
	if float64(extra+1) > ratio*float64(calls)+allowance {
		return false
	}
	w.parts[w.at%windowParts].extra++
	return true
}
