package routing

import "time"

const (
	// ejectAfterFailures is the number of consecutive failures that eject an endpoint.
	ejectAfterFailures = 3
	// ejectBase is the initial ejection time. It doubles with every further failure.
	ejectBase = 250 * time.Millisecond
	// ejectMax bounds the ejection time.
	ejectMax = 8 * time.Second
	// headroomMaxAge is the age at which a reported headroom expires.
	headroomMaxAge = 500 * time.Millisecond
	// slowStartDuration is the time in which the share of calls of a new endpoint grows
	// to the full share.
	slowStartDuration = 5 * time.Second
	// slowStartInitialShare is the initial share of calls of a new endpoint.
	slowStartInitialShare = 0.1
	// sampleWeight is the weight of a new sample in the smoothed latency.
	sampleWeight = 0.2
)

// Outcome is the result of an attempt as far as the endpoint is concerned.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OutcomeAnswered means that the endpoint or its node answered.
	OutcomeAnswered Outcome = iota
	// OutcomeUnreachable means that no connection could be established.
	OutcomeUnreachable
	// OutcomeStalled means that the peer made no progress for too long.
	OutcomeStalled
	// OutcomeBroken means that the connection was lost or the answer was invalid.
	OutcomeBroken
	// OutcomeCancelled means that the caller cancelled the attempt.
	OutcomeCancelled
)

// AttemptResult is the result of one attempt.
type AttemptResult struct {
	// Outcome is the outcome of the attempt.
	Outcome Outcome
	// Latency is the time to answer. It is used for OutcomeAnswered only.
	Latency time.Duration
	// Headroom is the number of further calls that the endpoint's node would run at
	// once. It is used for OutcomeAnswered only.
	Headroom int
	// Refused reports whether the node refused the call; Latency is then ignored.
	Refused bool
}

// target is the state tracked for one endpoint.
type target struct {
	outstanding    int
	latencyMicros  float64
	failures       int
	ejectedUntil   time.Duration
	probing        bool
	probeRequested bool
	firstSeen      time.Duration
	// Last headroom report of the endpoint's node.
	reportedHeadroom    int
	reportedAt          time.Duration
	outstandingAtReport int
	hasReport           bool
}

// ejected reports whether the endpoint gets no calls. After the ejection time it stays
// ejected until it answers a probe, so that no call is used as a probe.
func (t *target) ejected() bool {
	return t.failures >= ejectAfterFailures
}

// headroom returns the last reported headroom minus the calls that this node has sent
// since. Without a current report it returns 1, so that a call obtains a new one.
func (t *target) headroom(now time.Duration) int {
	if !t.hasReport || now-t.reportedAt > headroomMaxAge {
		return 1
	}
	return t.reportedHeadroom - (t.outstanding - t.outstandingAtReport)
}

// cost estimates the time to answer one more call, scaled up during the slow start.
func (t *target) cost(now time.Duration) float64 {
	share := 1.0
	if age := now - t.firstSeen; age < slowStartDuration {
		share = slowStartInitialShare + (1-slowStartInitialShare)*float64(age)/float64(slowStartDuration)
	}
	return float64(t.outstanding+1) * (t.latencyMicros + 1) / share
}

// Start records that an attempt is sent to an endpoint.
func (r *Router) Start(now time.Duration, vm string) {
	t, known := r.targets[vm]
	if !known {
		t = &target{firstSeen: now}
		r.targets[vm] = t
	}
	t.outstanding++
}

// Finish records the result of an attempt.
func (r *Router) Finish(now time.Duration, vm string, f AttemptResult) {
	t, known := r.targets[vm]
	if !known {
		return
	}
	t.outstanding--
	switch f.Outcome {
	case OutcomeAnswered:
		t.recordAnswer(now, f)
	case OutcomeUnreachable, OutcomeStalled:
		t.failures = max(t.failures, ejectAfterFailures-1)
		t.recordFailure(now)
	case OutcomeBroken:
		t.recordFailure(now)
	case OutcomeCancelled:
	}
}

func (t *target) recordAnswer(now time.Duration, f AttemptResult) {
	t.failures = 0
	t.probeRequested = false
	t.reportedHeadroom = f.Headroom
	t.reportedAt = now
	t.outstandingAtReport = t.outstanding
	t.hasReport = true
	if f.Refused {
		return
	}
	micros := float64(f.Latency.Microseconds())
	if t.latencyMicros == 0 {
		t.latencyMicros = micros
		return
	}
	t.latencyMicros += sampleWeight * (micros - t.latencyMicros)
}

func (t *target) recordFailure(now time.Duration) {
	t.failures++
	if t.failures < ejectAfterFailures {
		return
	}
	doublings := min(t.failures-ejectAfterFailures, 10)
	t.ejectedUntil = now + min(ejectBase<<doublings, ejectMax)
}

// RequestProbe requests a probe of an endpoint that is not ejected, because other
// endpoints near it have failed.
func (r *Router) RequestProbe(vm string) {
	if t, known := r.targets[vm]; known {
		t.probeRequested = true
	}
}

// DueProbes appends to out the endpoints with a requested probe or an elapsed ejection
// time. They are marked as being probed until RecordProbe.
func (r *Router) DueProbes(now time.Duration, out []string) []string {
	for vm, t := range r.targets {
		due := t.probeRequested || t.ejected() && now >= t.ejectedUntil
		if due && !t.probing {
			t.probing = true
			out = append(out, vm)
		}
	}
	return out
}

// RecordProbe records whether an endpoint answered a probe. If it did not, it is ejected,
// unless a call was answered in the meantime and no further probe was requested.
func (r *Router) RecordProbe(now time.Duration, vm string, answered bool) {
	t, known := r.targets[vm]
	if !known {
		return
	}
	ejected, probeRequested := t.ejected(), t.probeRequested
	t.probing, t.probeRequested = false, false
	switch {
	case !ejected && !probeRequested:
	case !answered:
		t.failures = max(t.failures, ejectAfterFailures-1)
		t.recordFailure(now)
	case ejected:
		t.failures = 0
		t.hasReport = false
	}
}
