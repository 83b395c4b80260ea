package admission

import "time"

const (
	// samplesMax is the number of recent answers that an estimate rests on.
	samplesMax = 16
	// quickRank is the place, in order of length, of the answer that counts as a
	// quick one: one in four takes less time.
	quickRank = samplesMax / 4
)

// estimate is the endpoint's current time to answer. It rests on the last few
// answers only, so it is right again soon after the endpoint became faster.
type estimate struct {
	samples [samplesMax]time.Duration
	count   int
	at      int
	sum     time.Duration
	low     time.Duration
}

// add takes in the time that one answer took.
func (e *estimate) add(took time.Duration) {
	e.sum += took - e.samples[e.at]
	e.samples[e.at] = took
	e.at = (e.at + 1) % samplesMax
	e.count = min(samplesMax, e.count+1)
	e.low = e.rank(quickRank)
}

// addUnanswered takes in a call that was given up. Its answer would have taken
// at least so long.
func (e *estimate) addUnanswered(took time.Duration) {
	if took > e.low {
		e.add(took)
	}
}

// mean returns the mean time to answer, 0 if nothing is known.
func (e *estimate) mean() time.Duration {
	if e.count == 0 {
		return 0
	}
	return e.sum / time.Duration(e.count)
}

// quick returns the time that one in four answers stays under. A call with less
// time than this is not worth a slot.
func (e *estimate) quick() time.Duration {
	return e.low
}

// rank returns the sample of the given place in order of length, 0 as long as
// there are too few.
func (e *estimate) rank(place int) time.Duration {
	if e.count < samplesMax {
		return 0
	}
	var least [quickRank + 1]time.Duration
	held := 0
	for _, s := range e.samples {
		i := held
		for ; i > 0 && least[i-1] > s; i-- {
			if i <= place {
				least[i] = least[i-1]
			}
		}
		if i <= place {
			least[i] = s
			held = min(held+1, place+1)
		}
	}
	return least[place]
}
