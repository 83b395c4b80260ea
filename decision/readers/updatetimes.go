package readers

import "time"

// batchPauseMax is the longest pause of a reader after changes. Calls to endpoints that leave
// must stop within 2 s of their report too.
const batchPauseMax = 800 * time.Millisecond

// UpdateTimes divides the time within which a change of the platform must be in force at
// every node. A subscriber has no way to tell a reader without news from a reader that no
// longer hears the platform, but by the time since the platform last confirmed the reader's
// state. These sums hold:
//
//	ProbeInterval + the platform's answer <= AgeMax
//	BatchPause + the platform's answer <= AgeMax
//	AgeMax + the subscriber's own read <= the bound
type UpdateTimes struct {
	// BatchPause is the pause of a reader after changes, so that one read returns those that
	// follow closely.
	BatchPause time.Duration
	// ProbeInterval is the time between two probes of the platform by a reader whose watch
	// waits. A probe is an outdated read, which costs a tenth of a watch.
	ProbeInterval time.Duration
	// ReadTime is allowed for one answer of the platform, with its transfer and processing.
	ReadTime time.Duration
	// AgeMax is the age of a reader's state at which its subscribers read the platform
	// themselves.
	AgeMax time.Duration
}

// NewUpdateTimes returns the times for a bound from the acknowledgement of a change to its
// effect at every node.
func NewUpdateTimes(bound time.Duration) UpdateTimes {
	t := UpdateTimes{ReadTime: bound / 5}
	t.AgeMax = bound - t.ReadTime
	t.BatchPause = min(2*t.ReadTime, batchPauseMax)
	t.ProbeInterval = t.AgeMax - t.ReadTime
	return t
}

// SnapshotWait returns how long a node whose own state has some age may wait for a reader's
// snapshot, instead of reading the platform. A node that fails to read the platform loses
// nothing by waiting for at most longest.
func (t UpdateTimes) SnapshotWait(age, longest time.Duration) time.Duration {
	if t.AgeMax-age < t.ReadTime {
		return longest
	}
	return min(longest, t.AgeMax-age)
}

// Freshness is what a reader's message says about the age of its state. Nodes exchange it
// without the field names.
type Freshness struct {
	_ struct{} `cbor:",toarray"`
	// AgeMs is the time since the platform confirmed the state, in milliseconds, rounded up.
	AgeMs uint64
	// EchoMs is the newest time, in milliseconds by the subscriber's clock, that the reader
	// has received from this subscriber.
	EchoMs uint64
	// SinceEchoMs is the time since it received that, in milliseconds, rounded down.
	SinceEchoMs uint64
}

// NewFreshness returns the freshness of a state of some age, for a subscriber whose time
// echo was received a while ago.
func NewFreshness(age, echo, sinceEcho time.Duration) Freshness {
	const roundUp = time.Millisecond - 1
	return Freshness{
		AgeMs: milliseconds(age + roundUp), EchoMs: milliseconds(echo), SinceEchoMs: milliseconds(sinceEcho),
	}
}

func milliseconds(d time.Duration) uint64 {
	return uint64(max(d, 0) / time.Millisecond)
}

// ConfirmedAt returns the time by the subscriber's clock at which the platform confirmed the
// state, or an earlier one: the time that the subscriber's message took to the reader counts
// as age, and the delay of the reader's message has no effect.
func (f Freshness) ConfirmedAt() time.Duration {
	return duration(f.EchoMs) + duration(f.SinceEchoMs) - duration(f.AgeMs)
}

// duration converts milliseconds from another node, of at most a year.
func duration(ms uint64) time.Duration {
	const year = 365 * 24 * time.Hour
	return time.Duration(min(ms, uint64(year/time.Millisecond))) * time.Millisecond
}
