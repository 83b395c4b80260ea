package pressure

import "time"

const (
	// targetLeast is the pressure at which requests of the least important class
	// are held: slots are rarely idle, and bursts find room.
	targetLeast = 0.95
	// targetStep is what each more important class stands beyond the next one, so
	// that it is refused only once those below it are.
	targetStep = 0.25
	// closeRate is the share of its size that a window of the least important
	// class loses in a second for each unit of pressure beyond its target.
	closeRate = 4.0
	// closeStep is the factor on closeRate for each more important class: a short
	// surge is to be over before it reaches them.
	closeStep = 0.4
	// offMax bounds how far beyond its target a pressure counts.
	offMax = 1.0
	// growth is the share of its size that a full window gains in a second while
	// the pressure is under its target.
	growth = 1.0
	// growthLeast is the same in runs, for small windows.
	growthLeast = 8.0
	// fullFrom is the share of a window from which on it counts as full.
	fullFrom = 0.75
	// slack is the room that a window keeps beyond what is in use: a burst passes,
	// a surge does not.
	slack = 2.0
	// shrinkTime is the time in which an unused window comes down to its slack.
	shrinkTime = 2 * time.Second
	// sizeLeast is the size under which no window falls: without any run nothing
	// would tell that the pressure is gone.
	sizeLeast = 2.0
	// stepMax bounds the time that one step accounts for.
	stepMax = 200 * time.Millisecond
	// usedTime is the time over which the use of a window is averaged.
	usedTime = 300 * time.Millisecond
)

// Target returns the pressure at which requests of a class are held. ranks is
// the number of classes; rank 0 is the most important one.
func Target(rank, ranks int) float64 {
	return targetLeast + targetStep*float64(max(ranks-1-rank, 0))
}

// Window bounds the requests of one route that an endpoint has begun and not
// ended. What it lets in falls by itself when the calls further down take longer,
// so it needs no news to stop a surge; the pressure of the chain then tells it its
// size. It is not safe for concurrent use.
type Window struct {
	size float64
	open int
	used float64 // mean of open
	at   time.Duration
}

// NewWindow returns a window for an endpoint that may run limit calls at once.
func NewWindow(now time.Duration, limit int) *Window {
	return &Window{size: float64(max(limit, 1)), at: now}
}

// TryAcquire counts a request that begins. It returns false when it is to be refused.
func (w *Window) TryAcquire() bool {
	if float64(w.open) >= w.size {
		return false
	}
	w.open++
	return true
}

// Release takes a request back.
func (w *Window) Release() {
	w.open--
}

// InFlight returns the number of requests that are open.
func (w *Window) InFlight() int {
	return w.open
}

// Size returns the number of requests that may be open.
func (w *Window) Size() float64 {
	return w.size
}

// Adapt takes in the pressure of the route's chain. limit is the number of calls
// that the endpoint may run at once.
func (w *Window) Adapt(now time.Duration, pressure float64, rank, ranks, limit int) {
	step := min(max(now-w.at, 0), stepMax).Seconds()
	w.at = max(now, w.at)
	w.used += (float64(w.open) - w.used) * min(step/usedTime.Seconds(), 1)
	off := pressure - Target(rank, ranks)
	switch {
	case off > 0:
		rate := closeRate
		for range ranks - 1 - rank {
			rate *= closeStep
		}
		w.size -= min(w.size, max(w.used, sizeLeast)*slack) * min(rate*min(off, offMax)*step, 1)
	case float64(w.open) >= fullFrom*w.size:
		w.size += max(growth*w.size, growthLeast) * step
	default:
		if room := w.used * slack; w.size > room {
			w.size -= (w.size - room) * min(step/shrinkTime.Seconds(), 1)
		}
	}
	w.size = min(max(w.size, sizeLeast), float64(max(limit, 1)))
}
