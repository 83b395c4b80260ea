package pressure

import "time"

const (
	// targetBase is the target pressure of the least important class, as a ratio of busy
	// slots: at 0.95 slots are rarely idle and capacity for short bursts is left.
	targetBase = 0.95
	// targetStep is the increase of the target pressure per class towards the most
	// important one, so that a class is rejected only after the less important ones.
	targetStep = 0.25
	// shrinkRate is the relative rate, per second, at which a window of the least
	// important class shrinks when the pressure is 1 above its target. The rate is
	// proportional to that excess.
	shrinkRate = 4.0
	// shrinkRankFactor multiplies shrinkRate once per class above the least important
	// one. Windows of important classes shrink more slowly, so that a short overload
	// ends before it affects them.
	shrinkRankFactor = 0.4
	// excessMax is the largest excess of the pressure over its target that increases
	// the shrink rate.
	excessMax = 1.0
	// growthRate is the share of its size that a full window gains per second while the
	// pressure is below its target.
	growthRate = 1.0
	// growthMin is the minimum growth of a full window, in requests per second.
	growthMin = 8.0
	// fullShare is the share of the window in use from which on it counts as full.
	fullShare = 0.75
	// slackFactor is the ratio of the window size to the mean number of requests in
	// flight down to which a partly used window shrinks. It admits a short burst, but
	// not a lasting increase of the load.
	slackFactor = 2.0
	// idleShrinkTime is the time constant with which a partly used window shrinks.
	idleShrinkTime = 2 * time.Second
	// sizeMin is the minimum window size, in requests. Without any admitted request the end of the
	// overload could not be detected.
	sizeMin = 2.0
	// stepMax bounds the time that one adaptation step accounts for, so that a late step
	// does not change the size abruptly.
	stepMax = 200 * time.Millisecond
	// usageTimeConstant is the time constant of the mean number of requests in flight.
	usageTimeConstant = 300 * time.Millisecond
)

// Target returns the target pressure of a class: the window of the class shrinks while the
// pressure is above it. ranks is the number of classes; rank 0 is the most important one.
func Target(rank, ranks int) float64 {
	return targetBase + targetStep*float64(max(ranks-1-rank, 0))
}

// Window is a concurrency window: it limits the requests of one route in flight at an
// endpoint. The admitted rate falls as soon as downstream calls take longer, so a sudden
// increase of the load is limited before the downstream nodes report their load. The
// pressure of the call chain, computed from these reports, then adapts the size. It is not
// safe for concurrent use.
type Window struct {
	size         float64
	inFlight     int
	meanInFlight float64
	updatedAt    time.Duration
}

// NewWindow returns a window for an endpoint that may run limit calls concurrently.
func NewWindow(now time.Duration, limit int) *Window {
	return &Window{size: float64(max(limit, 1)), updatedAt: now}
}

// TryAcquire admits a request. It returns false if the window is full.
func (w *Window) TryAcquire() bool {
	if float64(w.inFlight) >= w.size {
		return false
	}
	w.inFlight++
	return true
}

// Release records the end of an admitted request.
func (w *Window) Release() {
	w.inFlight--
}

// InFlight returns the number of requests in flight.
func (w *Window) InFlight() int {
	return w.inFlight
}

// Size returns the number of requests that may be in flight.
func (w *Window) Size() float64 {
	return w.size
}

// Adapt updates the size from the pressure of the route's call chain. limit is the
// number of calls that the endpoint may run concurrently.
func (w *Window) Adapt(now time.Duration, pressure float64, rank, ranks, limit int) {
	step := min(max(now-w.updatedAt, 0), stepMax).Seconds()
	w.updatedAt = max(now, w.updatedAt)
	w.meanInFlight += (float64(w.inFlight) - w.meanInFlight) * min(step/usageTimeConstant.Seconds(), 1)
	excess := pressure - Target(rank, ranks)
	switch {
	case excess > 0:
		rate := shrinkRate
		for range ranks - 1 - rank {
			rate *= shrinkRankFactor
		}
		w.size -= min(w.size, max(w.meanInFlight, sizeMin)*slackFactor) * min(rate*min(excess, excessMax)*step, 1)
	case float64(w.inFlight) >= fullShare*w.size:
		w.size += max(growthRate*w.size, growthMin) * step
	default:
		if bound := w.meanInFlight * slackFactor; w.size > bound {
			w.size -= (w.size - bound) * min(step/idleShrinkTime.Seconds(), 1)
		}
	}
	w.size = min(max(w.size, sizeMin), float64(max(limit, 1)))
}
