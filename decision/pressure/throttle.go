package pressure

import "time"

const (
	// targetLeast is the pressure at which requests of the least important class
	// are held: slots are rarely idle, and bursts find room.
	targetLeast = 0.92
	// targetStep is what each more important class stands beyond the next one, so
	// that it is refused only once those below it are.
	targetStep = 0.25
	// closeGain and openGain are the shares of a class by which a throttle moves in a
	// second for each unit that the pressure is off its target. A chain shows a
	// step after about half a second, which bounds both.
	closeGain = 0.9
	openGain  = 0.9
	// directGain is the share by which a throttle closes at once for each unit of
	// pressure beyond its target, until the slower steps have found their place.
	directGain = 0.8
	// offMax bounds how far off its target a pressure counts.
	offMax = 0.8
	// stepMax bounds the time that one step accounts for.
	stepMax = 200 * time.Millisecond
	// shareMin is the share that is always let in: without any request nothing
	// would tell that the pressure is gone.
	shareMin = 0.02
)

// Target returns the pressure at which requests of a class are held. ranks is
// the number of classes; rank 0 is the most important one.
func Target(rank, ranks int) float64 {
	return targetLeast + targetStep*float64(max(ranks-1-rank, 0))
}

// Throttle holds back a share of the requests of one route. The zero value is not
// of use; NewThrottle returns one that lets all in. It is not safe for concurrent
// use.
type Throttle struct {
	share  float64 // that is let in, but for the direct part
	direct float64
	at     time.Duration
}

// NewThrottle returns a throttle that lets all requests in.
func NewThrottle(now time.Duration) *Throttle {
	return &Throttle{share: 1, at: now}
}

// Advance takes in the pressure of the route's chain and the target of its class.
func (v *Throttle) Advance(now time.Duration, pressure, target float64) {
	step := min(now-v.at, stepMax).Seconds()
	v.at = max(now, v.at)
	off := min(max(pressure-target, -offMax), offMax)
	gain := closeGain
	if off < 0 {
		gain = openGain
	}
	v.share = min(max(v.share-gain*off*max(step, 0), shareMin), 1)
	v.direct = directGain * max(pressure-target, 0)
}

// Share returns the share of the requests that is let in.
func (v *Throttle) Share() float64 {
	return max(v.share-v.direct, shareMin)
}
