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

// reachPause is the longest pause between two probes.
const reachPause = 250 * time.Millisecond

// ReachPause returns the pause before each probe of a node that waits for the platform to be in reach again.
// A probe is an outdated read, which costs a tenth of a list. random, in [0, 1), spreads the nodes of a
// fleet.
func ReachPause(random float64) time.Duration {
	return reachPause/2 + time.Duration(random*float64(reachPause)/2)
}

// ReachProbesMax is the number of probes after which a node lists in any case, as the platform may serve
// lists and no probes.
const ReachProbesMax = 20

// ListSpread returns the time to wait before a list once the platform is in reach again. Nodes that find this
// at the same time, with a number of VMs in their fleet, make at most FleetRateLimit calls a second, unless
// the lists would take longer than RetryPauseMax. random, in [0, 1), spreads them.
func ListSpread(vms int, random float64) time.Duration {
	const (
		otherCalls = 2 // of a list: the configuration, and the page of endpoints that is not full
		pageItems  = 500
	)
	calls := vms * (otherCalls + vms/pageItems)
	spread := time.Duration(calls) * time.Second / FleetRateLimit
	return time.Duration(random * float64(min(spread, RetryPauseMax)))
}
