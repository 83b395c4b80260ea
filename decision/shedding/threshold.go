package shedding

import (
	"time"

	"github.com/galenacart/galenacart/decision/priority"
)

// Threshold returns the first priority that target sheds, as far as a fresh
// report says.
func (m *Memory) Threshold(now time.Duration, target Target) priority.Priority {
	r, known := m.targets[target]
	if !known || now-r.at >= Expiry {
		return priority.Lowest
	}
	return r.threshold
}
