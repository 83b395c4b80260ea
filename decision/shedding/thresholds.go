// Package shedding tracks at the caller's node which calls the target nodes shed, so
// that a call is refused before any work is spent on it.
package shedding

import (
	"time"

	"github.com/galenacart/galenacart/decision/priority"
)

// Target identifies one target node.
type Target uint32

const (
	// TargetsMax is the maximum number of targets in a ThresholdTable.
	TargetsMax = 1024
	// ReportLifetime is the age at which a report expires.
	ReportLifetime = time.Second
	// ProbeInterval is the age of a report from which on one call above the threshold
	// is sent as a probe. A target that gets calls below the threshold needs no probes,
	// because their answers carry newer reports.
	ProbeInterval = 100 * time.Millisecond
	// ProbeGap is the minimum time between probes of different targets. Without it one
	// call could use up the probes of all targets.
	ProbeGap = 2 * time.Millisecond
)

// report is the last load report of a target.
type report struct {
	receivedAt  time.Duration
	lastProbeAt time.Duration
	threshold   priority.Priority
	hasHeadroom bool // one call may pass the threshold
}

// ThresholdTable holds the thresholds of a bounded number of targets. It is not safe
// for concurrent use.
type ThresholdTable struct {
	targets      map[Target]report
	lastProbeAt  time.Duration // last probe of any target
	nextExpiryAt time.Duration // earliest time of the next removal of expired reports
}

// NewThresholdTable returns an empty ThresholdTable.
func NewThresholdTable() *ThresholdTable {
	return &ThresholdTable{targets: make(map[Target]report)}
}

// Update records the report in an answer of target: the first priority that it sheds
// and the number of further calls that it would run at once. If there is any headroom,
// one call may pass the threshold.
func (t *ThresholdTable) Update(now time.Duration, target Target, threshold priority.Priority, headroom uint16) {
	if threshold == priority.Lowest {
		delete(t.targets, target)
		return
	}
	old, known := t.targets[target]
	if !known && !t.ensureCapacity(now) {
		return
	}
	t.targets[target] = report{
		receivedAt:  now,
		lastProbeAt: old.lastProbeAt,
		threshold:   threshold,
		hasHeadroom: headroom > 0,
	}
}

// ShouldRefuse reports whether a call of priority p must not be sent to target.
// Occasionally it admits a call as a probe of whether the threshold still applies.
func (t *ThresholdTable) ShouldRefuse(now time.Duration, target Target, p priority.Priority) bool {
	r, known := t.targets[target]
	return known && r.sheds(now, p) && !t.mayPass(now, &r)
}

// RecordSent records that a call of priority p is sent to target.
func (t *ThresholdTable) RecordSent(now time.Duration, target Target, p priority.Priority) {
	r, known := t.targets[target]
	if !known || !r.sheds(now, p) {
		return
	}
	if !r.hasHeadroom {
		r.lastProbeAt = now
		t.lastProbeAt = now
	}
	r.hasHeadroom = false
	t.targets[target] = r
}

// Threshold returns the first priority that target sheds according to its last report,
// or priority.Lowest if that has expired.
func (t *ThresholdTable) Threshold(now time.Duration, target Target) priority.Priority {
	r, known := t.targets[target]
	if !known || now-r.receivedAt >= ReportLifetime {
		return priority.Lowest
	}
	return r.threshold
}

// mayPass reports whether one call may pass the threshold of r.
func (t *ThresholdTable) mayPass(now time.Duration, r *report) bool {
	if r.hasHeadroom {
		return true
	}
	updatedAt := max(r.receivedAt, r.lastProbeAt)
	return now-updatedAt >= ProbeInterval && now-t.lastProbeAt >= ProbeGap
}

// ensureCapacity removes expired reports if the table is full, and reports whether a
// further target fits.
func (t *ThresholdTable) ensureCapacity(now time.Duration) bool {
	if len(t.targets) < TargetsMax {
		return true
	}
	if now < t.nextExpiryAt {
		return false
	}
	t.nextExpiryAt = now + ReportLifetime
	for target, r := range t.targets {
		if now-r.receivedAt >= ReportLifetime {
			delete(t.targets, target)
		}
	}
	return len(t.targets) < TargetsMax
}

func (r *report) sheds(now time.Duration, p priority.Priority) bool {
	return now-r.receivedAt < ReportLifetime && !p.HigherThan(r.threshold)
}
