package admission

import "time"

const (
	// samplesMax is the number of recent answers that an estimate rests on.
	samplesMax = 16
	// medianRank is the place of the median in order of length.
	medianRank = samplesMax / 2
)

// estimate is the endpoint's current time to answer. It rests on the last few
// answers only, so it is right again soon after the endpoint became faster.
type estimate struct {
	samples [samplesMax]time.Duration
	count   int
	at      int
	sum     time.Duration
	middle  time.Duration
}

// add takes in the time that one answer took. The time of a call that was given
// up counts as well: its answer would have taken longer.
func (e *estimate) add(took time.Duration) {
	e.sum += took - e.samples[e.at]
	e.samples[e.at] = took
	e.at = (e.at + 1) % samplesMax
	e.count = min(samplesMax, e.count+1)
	e.middle = e.rank(medianRank)
}

// mean returns the mean time to answer, 0 if nothing is known.
func (e *estimate) mean() time.Duration {
	if e.count == 0 {
		return 0
	}
	return e.sum / time.Duration(e.count)
}

// median returns the time that half of the answers stay under, 0 as long as too
// little is known. A call with less time than this is not worth a slot.
func (e *estimate) median() time.Duration {
	return e.middle
}

// rank returns the sample of the given place in order of length, 0 as long as
// there are too few.
func (e *estimate) rank(place int) time.Duration {
	if e.count < samplesMax {
		return 0
	}
	var least [medianRank + 1]time.Duration
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
