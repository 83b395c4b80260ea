package retry

import "time"

const (
	// ownShare is the part of the fleet's budget that nodes use for extra attempts which
	// repeat no calls further down. The rest is for extra attempts of services up the chain.
	ownShare = 0.55
	// restartShare replaces ownShare in the first window of a process. What the process
	// before it spent is unknown and may lie in the same window.
	restartShare = 0.15
)

// FleetBudget bounds the extra attempts of the whole fleet towards one service.
type FleetBudget struct {
	// Ratio is the number of extra attempts per call to the service.
	Ratio float64
	// Allowance is a number of extra attempts that is granted in addition to Ratio.
	Allowance float64
	// Window is the time over which calls and extra attempts are counted.
	Window time.Duration
}

// NodeLimit returns the limit of one of the fleet's nodes, whose process has run for uptime.
func (f FleetBudget) NodeLimit(uptime time.Duration, nodes int) Limit {
	share := ownShare
	if uptime < f.Window {
		share = restartShare
	}
	return Limit{Ratio: f.Ratio * share, Allowance: f.Allowance * share / float64(max(nodes, 1))}
}
