package pressure

import "time"

const (
	// targetBase is the target pressure of the least important class. It keeps slots
	// rarely idle and leaves capacity for bursts.
	targetBase = 0.95
	// targetStep is the increase of the target pressure per class towards the most
	// important one, so that a class is rejected only after the less important ones.
	targetStep = 0.25
	// shrinkRate is the share of its size that a window of the least important class
	// loses per second and unit of pressure above its target.
	shrinkRate = 4.0
	// shrinkRankFactor is the factor on shrinkRate for each more important class, so
	// that short surges end before they affect the important classes.
	shrinkRankFactor = 0.4
	// excessMax bounds the pressure above the target that is taken into account.
	excessMax = 1.0
	// growthRate is the share of its size that a full window gains per second while the
	// pressure is below its target.
	growthRate = 1.0
	// growthMin is the minimum growth of a full window, in requests per second.
	growthMin = 8.0
	// fullShare is the share of the window in use from which on it counts as full.
	fullShare = 0.75
	// slackFactor is the ratio of the window size to its mean use down to which an
	// unused window shrinks. It admits a burst but not a surge.
	slackFactor = 2.0
	// idleShrinkTime is the time constant with which an unused window shrinks.
	idleShrinkTime = 2 * time.Second
	// sizeMin is the minimum window size. Without any admitted request the end of the
	// overload could not be detected.
	sizeMin = 2.0
	// stepMax bounds the time that one adaptation step accounts for.
	stepMax = 200 * time.Millisecond
	// usageTimeConstant is the time constant of the mean number of requests in flight.
	usageTimeConstant = 300 * time.Millisecond
)

// Target returns the pressure at which the requests of a class are held. ranks is the
// number of classes; rank 0 is the most important one.
func Target(rank, ranks int) float64 {
	return targetBase + targetStep*float64(max(ranks-1-rank, 0))
}

// Window limits the requests of one route in flight at an endpoint. The admitted rate
// falls as soon as downstream calls take longer, so a surge is limited before any load
// report arrives; the pressure of the call chain then adapts the size. It is not safe
// for concurrent use.
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
