package membudget

import (
	"cmp"
	"slices"
	"time"
)

// Holding is what a peer makes a process hold.
type Holding struct {
	// Bytes is the memory held for the peer.
	Bytes int
	// Stalled is how long the peer has neither sent nor read anything that is due.
	Stalled time.Duration
}

// Evictions returns the indexes of the holdings to give up so that at least needed bytes become
// free: the largest of those that have been stalled for stalledMin or longer. It returns fewer
// if these do not suffice.
func Evictions(holdings []Holding, needed int, stalledMin time.Duration) []int {
	var stalled []int
	for i, h := range holdings {
		if h.Bytes > 0 && h.Stalled >= stalledMin {
			stalled = append(stalled, i)
		}
	}
	slices.SortStableFunc(stalled, func(a, b int) int { return cmp.Compare(holdings[b].Bytes, holdings[a].Bytes) })
	for i, index := range stalled {
		if needed <= 0 {
			return stalled[:i]
		}
		needed -= holdings[index].Bytes
	}
	return stalled
}

// LongestIdle returns the index of the holding that has been stalled longest, or -1 without any.
func LongestIdle(holdings []Holding) int {
	longest := -1
	for i, h := range holdings {
		if longest < 0 || h.Stalled > holdings[longest].Stalled {
			longest = i
		}
	}
	return longest
}
