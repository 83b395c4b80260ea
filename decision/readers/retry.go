package readers

import "time"

const (
	// retryFirst is the longest pause after the first failed read.
	retryFirst = 200 * time.Millisecond
	// RetryPauseMax bounds the pause after further failures. A configuration must be in
	// force 2 s after the platform responds again.
	RetryPauseMax = 1600 * time.Millisecond
)

// RetryPause returns the pause after a number of consecutive failed reads of a node that
// needs the platform to respond. During an outage all nodes of the fleet are such nodes.
// random, in [0, 1), spreads them.
func RetryPause(failures int, random float64) time.Duration {
	longest := retryFirst
	for i := 1; i < failures && longest < RetryPauseMax; i++ {
		longest *= 2
	}
	longest = min(longest, RetryPauseMax)
	return longest/2 + time.Duration(random*float64(longest)/2)
}
