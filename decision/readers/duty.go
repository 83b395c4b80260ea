package readers

import "time"

// Duty says how a node reads the platform.
type Duty uint8

// The duties.
const (
	// DutyNone means that the node hears of changes from its peers.
	DutyNone Duty = iota
	// DutyWatch means that the node reads for its zone: it always has a watch open.
	DutyWatch
	// DutyCheck means that nobody has told the node of a fresh read for a while,
	// so that it reads now and then itself.
	DutyCheck
)

var dutyNames = [...]string{"none", "watch", "check"}

// String returns the name of the duty.
func (d Duty) String() string {
	return dutyNames[d]
}

// Times of the duties.
const (
	// WatchWait is the longest wait of one watch.
	WatchWait = 10 * time.Second
	// StaleAfter is the age of the last read heard of, by anyone, at which a node
	// begins to read itself.
	StaleAfter = 25 * time.Second

	backoffStart    = 500 * time.Millisecond
	backoffMaxWatch = 4 * time.Second
	backoffMaxCheck = time.Minute
)

// Conditions is what a node knows when it chooses its duty.
type Conditions struct {
	// Listed says that the node has a VM list that contains it.
	Listed bool
	// Reader says that the list makes the node a reader of its zone.
	Reader bool
	// Leaving says that the node is stopping.
	Leaving bool
	// Uptime is the time since the node started.
	Uptime time.Duration
	// StartGrace is the time for which a node that started leaves it to its peers
	// to tell it of a read.
	StartGrace time.Duration
	// ReadKnown says that the node knows of a read of the platform at all.
	ReadKnown bool
	// ReadAge is the time since the newest read that the node knows of.
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

// Backoff returns the pause after a number of failed reads in a row. random is
// in [0, 1): nodes that failed together come back apart.
func Backoff(d Duty, failures int, random float64) time.Duration {
	longest := backoffMaxCheck
	if d == DutyWatch {
		longest = backoffMaxWatch
	}
	pause := backoffStart
	for i := 1; i < failures && pause < longest; i++ {
		pause *= 2
	}
	pause = min(pause, longest)
	return pause/2 + time.Duration(random*float64(pause)/2)
}
