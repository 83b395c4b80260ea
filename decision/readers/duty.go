package readers

import "time"

// Duty is the way in which a node reads the platform.
type Duty uint8

// The duties.
const (
	// DutyNone means that the node receives changes from its peers.
	DutyNone Duty = iota
	// DutyWatch means that the node reads for its zone and always has a watch open.
	DutyWatch
	// DutyCheck means that the node has not learnt of a recent read from its peers and
	// therefore reads occasionally itself.
	DutyCheck
)

var dutyNames = [...]string{"none", "watch", "check"}

// String returns the name of the duty.
func (d Duty) String() string {
	return dutyNames[d]
}

// Timing of reads.
const (
	// WatchWait is the maximum duration of one watch.
	WatchWait = 10 * time.Second
	// StaleAfter is the age of the newest known read by any node at which a node starts
	// to read itself.
	StaleAfter = 25 * time.Second

	backoffStart    = 500 * time.Millisecond
	backoffMaxWatch = 4 * time.Second
	backoffMaxCheck = time.Minute
)

// Conditions holds what a node knows when it chooses its duty.
type Conditions struct {
	// Listed says that the node has a VM list that contains it.
	Listed bool
	// Reader says that the list makes the node a reader of its zone.
	Reader bool
	// Leaving says that the node is stopping.
	Leaving bool
	// Uptime is the time since the node started.
	Uptime time.Duration
	// StartGrace is the time after its start in which a node waits for its peers to
	// report a read.
	StartGrace time.Duration
	// ReadKnown says that the node knows of any read of the platform.
	ReadKnown bool
	// ReadAge is the time since the newest read known to the node.
	ReadAge time.Duration
}

// ChooseDuty returns the duty of a node.
func ChooseDuty(s Conditions) Duty {
	switch {
	case s.Leaving:
		return DutyNone
	case s.Listed && s.Reader:
		return DutyWatch
	case !s.ReadKnown && s.Uptime >= s.StartGrace:
		return DutyCheck
	case s.ReadKnown && s.ReadAge >= StaleAfter:
		return DutyCheck
	default:
		return DutyNone
	}
}

// Backoff returns the delay after a number of consecutive failed reads. random, in
// [0, 1), adds jitter so that nodes that failed together do not retry together.
func Backoff(d Duty, failures int, random float64) time.Duration {
	maxDelay := backoffMaxCheck
	if d == DutyWatch {
		maxDelay = backoffMaxWatch
	}
	delay := backoffStart
	for i := 1; i < failures && delay < maxDelay; i++ {
		delay *= 2
	}
	delay = min(delay, maxDelay)
	return delay/2 + time.Duration(random*float64(delay)/2)
}
