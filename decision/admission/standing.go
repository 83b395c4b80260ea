package admission

import (
	"time"

	"github.com/galenacart/galenacart/decision/priority"
)

const (
	// standingTime is the time for which calls of a class wait without a break
	// before their queue counts as standing. A burst that the endpoint can take is
	// gone sooner.
	standingTime = 300 * time.Millisecond
	// standingWaitMin is the least time that a call may wait in a standing queue.
	standingWaitMin = 25 * time.Millisecond
	// ranksTracked is the number of classes that are told apart.
	ranksTracked = 8
)

// standing tells queues that stand from those that take a burst. A queue that
// stands adds nothing to the work done: it only keeps calls, and the slots that
// they hold further up their chains, waiting for a refusal.
type standing struct {
	// clearAt is, by rank, the last time that no call of that class or a more
	// important one waited.
	clearAt [ranksTracked]time.Duration
}

// observe takes in that the most important call that waits has the given rank.
func (s *standing) observe(now time.Duration, best priority.Rank) {
	for r := range min(int(best), ranksTracked) {
		s.clearAt[r] = now
	}
}

// clear takes in that no call waits.
func (s *standing) clear(now time.Duration) {
	s.observe(now, ranksTracked)
}

// holds reports whether the queue stands for calls of priority p.
func (s *standing) holds(now time.Duration, p priority.Priority) bool {
	r := min(int(p.Rank()), ranksTracked-1)
	return now-s.clearAt[r] >= standingTime
}
