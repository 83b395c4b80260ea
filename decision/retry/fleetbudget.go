package retry

import (
	"math"
	"time"
)

const (
	// ownShare is the part of the fleet's budget that nodes use for extra attempts which
	// repeat no calls further down. The rest is for extra attempts of services up the chain.
	ownShare = 0.55
	// restartShare replaces ownShare in the first window of a process. What the process
	// before it spent is unknown and may lie in the same window.
	restartShare = 0.15
	// upstreamShare is the part for extra attempts that repeat calls further down, and
	// upstreamRestartShare replaces it in the first window of a process. A service at
	// depth d uses 1/2^d of it: a call is repeated by any of the services above it, and the
	// parts of all of them add up to no more than the whole.
	upstreamShare        = 0.2
	upstreamRestartShare = 0.05
)

// Depth is the number of levels of calls that a run of a route makes, directly and further
// down the chain.
type Depth uint8

const (
	// DepthMax is the largest depth that nodes exchange.
	DepthMax Depth = 30
	// DepthUnknown is the depth of a route before it was learned.
	DepthUnknown Depth = 31
	// AssumedDepth stands for the depth of a route that makes calls, of unknown depth.
	AssumedDepth Depth = 3
)

// Above returns the depth of a route that calls a route of depth d.
func (d Depth) Above() Depth {
	if d == DepthUnknown {
		return DepthUnknown
	}
	return min(d+1, DepthMax)
}

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
// depth is that of what the extra attempt repeats: 0 if the attempt before did not run.
func (f FleetBudget) NodeLimit(uptime time.Duration, nodes int, depth Depth) Limit {
	restarted := uptime < f.Window
	if depth == DepthUnknown {
		depth = AssumedDepth
		if restarted {
			depth = 0 // its part is small, and no node may have learned the depth yet
		}
	}
	own, upstream := ownShare, upstreamShare
	if restarted {
		own, upstream = restartShare, upstreamRestartShare
	}
	if depth > 0 {
		// An allowance would be multiplied by the number of calls in each run.
		return Limit{Ratio: f.Ratio * math.Ldexp(upstream, -int(depth))}
	}
	return Limit{Ratio: f.Ratio * own, Allowance: f.Allowance * own / float64(max(nodes, 1))}
}
