// Package shedding remembers, at a caller's node, which calls the target nodes
// shed, so that a call is refused before any work is spent on it.
package shedding

import (
	"time"

	"github.com/galenacart/galenacart/decision/priority"
)

// Target names one target node.
type Target uint32

// report is the last that a target said of itself.
type report struct {
	at        time.Duration
	threshold priority.Priority
	headroom  uint16
	probedAt  time.Duration
}

// Memory holds the thresholds of a bounded number of targets. It is not safe
// for concurrent use.
type Memory struct {
	targets map[Target]report
}

// Bounds of the memory.
const (
	// TargetsMax is the number of targets that a Memory holds.
	TargetsMax = 1024
	// Expiry is the time after which a report counts no more.
	Expiry = 250 * time.Millisecond
	// ProbeInterval is the time between two calls that pass a target's
	// threshold to ask whether it still holds.
	ProbeInterval = 25 * time.Millisecond
)

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	return &Memory{targets: make(map[Target]report)}
}

// Report takes in what an answer of target said: the first priority that it
// sheds and the further calls that it would run at once.
func (m *Memory) Report(now time.Duration, target Target, threshold priority.Priority, headroom uint16) {
	old, known := m.targets[target]
	if !known && len(m.targets) >= TargetsMax {
		m.expire(now)
	}
	if !known && len(m.targets) >= TargetsMax {
		return
	}
	m.targets[target] = report{at: now, threshold: threshold, headroom: headroom, probedAt: old.probedAt}
}

// Refuse reports whether target would shed a call of priority p. Now and then
// it lets a call pass to ask whether the threshold still holds.
func (m *Memory) Refuse(now time.Duration, target Target, p priority.Priority) bool {
	r, known := m.targets[target]
	if !known || !r.sheds(now, p) {
		return false
	}
	if now-r.probedAt < ProbeInterval {
		return true
	}
	r.probedAt = now
	m.targets[target] = r
	return false
}

// RefuseAll reports whether every target of a service would shed a call of
// priority p. It is false for an empty list.
func (m *Memory) RefuseAll(now time.Duration, targets []Target, p priority.Priority) bool {
	for _, target := range targets {
		if !m.Refuse(now, target, p) {
			return false
		}
	}
	return len(targets) > 0
}

// Forget drops what is known of a target that has left.
func (m *Memory) Forget(target Target) {
	delete(m.targets, target)
}

func (m *Memory) expire(now time.Duration) {
	for target, r := range m.targets {
		if now-r.at >= Expiry {
			delete(m.targets, target)
		}
	}
}

func (r *report) sheds(now time.Duration, p priority.Priority) bool {
	if r.headroom > 0 || now-r.at >= Expiry {
		return false
	}
	return r.threshold != priority.Lowest && !p.Before(r.threshold)
}
