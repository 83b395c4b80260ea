// Package shedding remembers, at a caller's node, which calls the target nodes
// shed, so that a call is refused before any work is spent on it.
package shedding

import (
	"time"

	"github.com/galenacart/galenacart/decision/priority"
)

// Target names one target node.
type Target uint32

const (
	// TargetsMax is the number of targets that a Memory holds.
	TargetsMax = 1024
	// ReportLifetime is the time after which a report counts no more.
	ReportLifetime = time.Second
	// ProbeInterval is the age of a report from which on a call passes the
	// threshold to ask whether it still holds. Calls below the threshold bring
	// newer reports, so a target that gets any needs no probes.
	ProbeInterval = 100 * time.Millisecond
	// ProbeGap is the least time between probes of different targets. Without it
	// one call would use up the probes of all.
	ProbeGap = 2 * time.Millisecond
)

// report is the last that a target said of itself.
type report struct {
	at        time.Duration
	probedAt  time.Duration
	threshold priority.Priority
	room      bool // for one call over the threshold
}

// ThresholdTable holds the thresholds of a bounded number of targets. It is not safe
// for concurrent use.
type ThresholdTable struct {
	targets  map[Target]report
	probedAt time.Duration // last probe of any target
	expireAt time.Duration // earliest time of the next search for old reports
}

// NewThresholdTable returns an empty Memory.
func NewThresholdTable() *ThresholdTable {
	return &ThresholdTable{targets: make(map[Target]report)}
}

// Update takes in what an answer of target said: the first priority that it
// sheds and the further calls that it would run at once. With room for further
// calls, one call may pass the threshold.
func (m *ThresholdTable) Update(now time.Duration, target Target, threshold priority.Priority, headroom uint16) {
	if threshold == priority.Lowest {
		delete(m.targets, target)
		return
	}
	old, known := m.targets[target]
	if !known && !m.makeRoom(now) {
		return
	}
	m.targets[target] = report{
		at:        now,
		probedAt:  old.probedAt,
		threshold: threshold,
		room:      headroom > 0,
	}
}

// ShouldRefuse reports whether a call of priority p is not to be sent to target. Now
// and then it lets a call pass to ask whether the threshold still holds.
func (m *ThresholdTable) ShouldRefuse(now time.Duration, target Target, p priority.Priority) bool {
	r, known := m.targets[target]
	return known && r.sheds(now, p) && !m.mayPass(now, &r)
}

// RecordSent takes in that a call of priority p is sent to target.
func (m *ThresholdTable) RecordSent(now time.Duration, target Target, p priority.Priority) {
	r, known := m.targets[target]
	if !known || !r.sheds(now, p) {
		return
	}
	if !r.room {
		r.probedAt = now
		m.probedAt = now
	}
	r.room = false
	m.targets[target] = r
}

// Threshold returns the first priority that target sheds, as far as is known.
func (m *ThresholdTable) Threshold(now time.Duration, target Target) priority.Priority {
	r, known := m.targets[target]
	if !known || now-r.at >= ReportLifetime {
		return priority.Lowest
	}
	return r.threshold
}

// mayPass reports whether one call may pass the threshold of r.
func (m *ThresholdTable) mayPass(now time.Duration, r *report) bool {
	if r.room {
		return true
	}
	asked := max(r.at, r.probedAt)
	return now-asked >= ProbeInterval && now-m.probedAt >= ProbeGap
}

// makeRoom reports whether a further target can be held.
func (m *ThresholdTable) makeRoom(now time.Duration) bool {
	if len(m.targets) < TargetsMax {
		return true
	}
	if now < m.expireAt {
		return false
	}
	m.expireAt = now + ReportLifetime
	for target, r := range m.targets {
		if now-r.at >= ReportLifetime {
			delete(m.targets, target)
		}
	}
	return len(m.targets) < TargetsMax
}

func (r *report) sheds(now time.Duration, p priority.Priority) bool {
	return now-r.at < ReportLifetime && !p.Before(r.threshold)
}
