package admission

import "time"

const (
	// sampleCount is the number of recent calls in the estimate.
	sampleCount = 16
	// medianRank is the rank of the median among the sorted samples.
	medianRank = sampleCount / 2
)

// responseTimeEstimate estimates the endpoint's current response time from the last
// few calls only, so it recovers soon after the endpoint becomes faster.
type responseTimeEstimate struct {
	samples      [sampleCount]time.Duration
	count        int
	next         int // index of the sample to overwrite
	sum          time.Duration
	cachedMedian time.Duration
}

// add records the duration of one call. Aborted calls count too, as lower
// bounds: their responses would have taken longer.
func (r *responseTimeEstimate) add(duration time.Duration) {
	r.sum += duration - r.samples[r.next]
	r.samples[r.next] = duration
	r.next = (r.next + 1) % sampleCount
	r.count = min(sampleCount, r.count+1)
	r.cachedMedian = r.orderStatistic(medianRank)
}

// mean returns the mean response time, or 0 without samples.
func (r *responseTimeEstimate) mean() time.Duration {
	if r.count == 0 {
		return 0
	}
	return r.sum / time.Duration(r.count)
}

// median returns the median response time, or 0 with fewer than sampleCount
// samples. A call with less time left is not worth a slot.
func (r *responseTimeEstimate) median() time.Duration {
	return r.cachedMedian
}

// orderStatistic returns the sample with the given rank in ascending order, or
// 0 with fewer than sampleCount samples. The rank must not exceed medianRank.
func (r *responseTimeEstimate) orderStatistic(rank int) time.Duration {
	if r.count < sampleCount {
		return 0
	}
	var smallest [medianRank + 1]time.Duration
	filled := 0
	for _, s := range r.samples {
		i := filled
		for ; i > 0 && smallest[i-1] > s; i-- {
			if i <= rank {
				smallest[i] = smallest[i-1]
			}
		}
		if i <= rank {
			smallest[i] = s
			filled = min(filled+1, rank+1)
		}
	}
	return smallest[rank]
}
