// Package draining decides which calls an endpoint still gets after it has begun to leave. It
// handles planned stops, releases and scale-in under load: the calls that wait for a slot then
// exceed what the endpoint can complete before it exits, and other endpoints of the service can
// take them only while there is time left. Calls that are not admitted have not run.
package draining

import "time"

// startPercent is the part of the drain time, in percent, in which calls may start. The rest
// covers the time from this decision until the call reaches the endpoint.
const startPercent = 85

// Window is the time in which an endpoint gets calls. The zero value has no end.
type Window struct {
	startBefore time.Duration // calls start before this time
	endBefore   time.Duration // calls are expected to end before this time
	closing     bool
	interrupts  bool // calls that still run at endBefore are interrupted
}

// Closing returns the window of an endpoint that began to leave at the time since or later, and
// serves for at least drain after that.
func Closing(since, drain time.Duration) Window {
	return Window{startBefore: since + drain*startPercent/100, endBefore: since + drain, closing: true}
}

// Between returns a window in which calls start before one time, and are interrupted at another.
func Between(startBefore, endBefore time.Duration) Window {
	return Window{startBefore: startBefore, endBefore: endBefore, closing: true, interrupts: true}
}

// And returns the window of calls that both windows admit.
func (w Window) And(other Window) Window {
	switch {
	case !w.closing:
		return other
	case !other.closing:
		return w
	default:
		return Window{
			startBefore: min(w.startBefore, other.startBefore), endBefore: min(w.endBefore, other.endBefore),
			closing: true, interrupts: w.interrupts || other.interrupts,
		}
	}
}

// Closed returns the window of an endpoint that gets no more calls.
func Closed() Window {
	return Window{closing: true}
}

// IsClosing reports whether the window has an end.
func (w Window) IsClosing() bool {
	return w.closing
}

// Duration returns how long a call is expected to run that has some time left until its deadline. typical is
// how long calls of its route have taken, or 0 if that is unknown. Then only its deadline bounds it, which
// counts if it would be interrupted; an endpoint that leaves serves somewhat longer than its drain.
func (w Window) Duration(typical, left time.Duration) time.Duration {
	if typical == 0 && w.interrupts {
		typical = left
	}
	return max(min(typical, left), 0)
}

// Admits reports whether a call may start at a time. estimated is its expected duration.
func (w Window) Admits(start, estimated time.Duration) bool {
	return !w.closing || start < w.startBefore && start+estimated <= w.endBefore
}
