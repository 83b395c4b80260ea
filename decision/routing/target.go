package routing

import "time"

const (
	// ejectFailures is the number of failures in a row that set an endpoint aside.
	ejectFailures = 3
	// ejectBase is the first time for which an endpoint is set aside. It doubles
	// with every further failure.
	ejectBase = 250 * time.Millisecond
	// ejectMax bounds the time for which an endpoint is set aside.
	ejectMax = 8 * time.Second
	// headroomAge is the age at which a reported headroom counts no more.
	headroomAge = 500 * time.Millisecond
	// slowStart is the time in which a new endpoint grows to a full share.
	slowStart = 5 * time.Second
	// slowStartShare is the share with which a new endpoint starts.
	slowStartShare = 0.1
	// weightNew is the weight of a new sample in the smoothed time to answer.
	weightNew = 0.2
)

// Outcome says how an attempt ended, as far as the endpoint is concerned.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OutcomeAnswered means that the endpoint or its node answered.
	OutcomeAnswered Outcome = iota
	// OutcomeUnreachable means that no connection could be made.
	OutcomeUnreachable
	// OutcomeStalled means that the other side showed no progress for too long.
	OutcomeStalled
	// OutcomeBroken means that the connection or the answer broke.
	OutcomeBroken
	// OutcomeCancelled means that the caller stopped waiting.
	OutcomeCancelled
)

// AttemptResult describes the end of one attempt.
type AttemptResult struct {
	// Outcome says how the attempt ended.
	Outcome Outcome
	// Latency is the time to answer. It counts for OutcomeAnswered only.
	Latency time.Duration
	// Headroom is the number of further calls that the endpoint's node would run
	// at once. It counts for OutcomeAnswered only.
	Headroom int
	// Refused says that the node refused the call, so Took tells nothing.
	Refused bool
}

type target struct {
	outstanding  int
	tookMicros   float64
	failures     int
	ejectedUntil time.Duration
	probing      bool
	doubted      bool
	firstSeen    time.Duration
	// The last report of the endpoint's node.
	reported       int
	reportedAt     time.Duration
	reportedFlight int
	hasReport      bool
}

// aside reports whether the endpoint gets no calls. Once its time is over it
// stays aside until a probe was answered, so that no call has to find out.
func (t *target) aside() bool {
	return t.failures >= ejectFailures
}

// headroom returns the further calls that the endpoint would run at once, as
// last reported, less what this node has sent since. An endpoint without a
// fresh report is taken to have room, so that it is asked again.
func (t *target) headroom(now time.Duration) int {
	if !t.hasReport || now-t.reportedAt > headroomAge {
		return 1
	}
	return t.reported - (t.outstanding - t.reportedFlight)
}

func (t *target) cost(now time.Duration) float64 {
	share := 1.0
	if age := now - t.firstSeen; age < slowStart {
		share = slowStartShare + (1-slowStartShare)*float64(age)/float64(slowStart)
	}
	return float64(t.outstanding+1) * (t.tookMicros + 1) / share
}

// Start counts an attempt that is sent to an endpoint.
func (r *Router) Start(now time.Duration, vm string) {
	t, known := r.targets[vm]
	if !known {
		t = &target{firstSeen: now}
		r.targets[vm] = t
	}
	t.outstanding++
}

// Finish takes back an attempt and learns from its end.
func (r *Router) Finish(now time.Duration, vm string, f AttemptResult) {
	t, known := r.targets[vm]
	if !known {
		return
	}
	t.outstanding--
	switch f.Outcome {
	case OutcomeAnswered:
		t.answered(now, f)
	case OutcomeUnreachable, OutcomeStalled:
		t.failures = max(t.failures, ejectFailures-1)
		t.failed(now)
	case OutcomeBroken:
		t.failed(now)
	case OutcomeCancelled:
	}
}

func (t *target) answered(now time.Duration, f AttemptResult) {
	t.failures = 0
	t.doubted = false
	t.reported = f.Headroom
	t.reportedAt = now
	t.reportedFlight = t.outstanding
	t.hasReport = true
	if f.Refused {
		return
	}
	micros := float64(f.Latency.Microseconds())
	if t.tookMicros == 0 {
		t.tookMicros = micros
		return
	}
	t.tookMicros += weightNew * (micros - t.tookMicros)
}

func (t *target) failed(now time.Duration) {
	t.failures++
	if t.failures < ejectFailures {
		return
	}
	doublings := min(t.failures-ejectFailures, 10)
	t.ejectedUntil = now + min(ejectBase<<doublings, ejectMax)
}

// RequestProbe has an endpoint probed that still gets calls: others near it are lost.
func (r *Router) RequestProbe(vm string) {
	if t, known := r.targets[vm]; known {
		t.doubted = true
	}
}

// DueProbes appends to out the endpoints that are in doubt or whose time aside is over,
// and counts them as being probed until Probed.
func (r *Router) DueProbes(now time.Duration, out []string) []string {
	for vm, t := range r.targets {
		due := t.doubted || t.aside() && now >= t.ejectedUntil
		if due && !t.probing {
			t.probing = true
			out = append(out, vm)
		}
	}
	return out
}

// RecordProbe takes in whether an endpoint answered a probe. One that did not is set
// aside, unless a call was answered meanwhile and nothing casts doubt on it.
func (r *Router) RecordProbe(now time.Duration, vm string, answered bool) {
	t, known := r.targets[vm]
	if !known {
		return
	}
	aside, doubted := t.aside(), t.doubted
	t.probing, t.doubted = false, false
	switch {
	case !aside && !doubted:
	case !answered:
		t.failures = max(t.failures, ejectFailures-1)
		t.failed(now)
	case aside:
		t.failures = 0
		t.hasReport = false
	}
}
