package readers

import "time"

const (
	// StartStep is the time after which a node that has just started lists the endpoints
	// again, and twice as many nodes of its zone count as readers.
	StartStep = 300 * time.Millisecond
	// emptyListMax is the time for which a node reads lists that name no node of its zone.
	// Fleets that start together register within about two heartbeats.
	emptyListMax = 3 * time.Second
	// unlistedSpread is the time over which nodes that no list names start to read, so that
	// a large fleet stays within the platform's rate limit.
	unlistedSpread = 3 * time.Second
	// servingMax is the time for which a node may serve by a state that gets no changes. It
	// is below the 2 s within which a configuration must be in force.
	servingMax = time.Second
)

// StartAction is what a node that has just started does next.
type StartAction uint8

// The actions.
const (
	// StartList means to list the endpoints again, at the low price of an outdated list.
	StartList StartAction = iota
	// StartSubscribe means to subscribe to a reader.
	StartSubscribe
	// StartRead means to read the platform.
	StartRead
)

// StartConditions holds what a node knows that has just started and follows no reader yet.
type StartConditions struct {
	// Elapsed is the time since the first list.
	Elapsed time.Duration
	// ListedFor is the time since a list first named a node of the own zone.
	ListedFor time.Duration
	// Serving says that another node has sent its state, by which this node serves already
	// although it hears of no changes.
	Serving bool
	// Random is in [0, 1) and stays the same for one start.
	Random float64
	// ZoneSize is the number of nodes of the own zone in the list.
	ZoneSize int
	// Rank is the position of this node among them in the order of Top, or ZoneSize if the
	// list lacks this node.
	Rank int
}

// NextStartAction returns what to do next. Readers are the first nodes of the zone in the
// order of Top; while none of them serves, their number doubles with each step. So few
// nodes read when a fleet starts together, and none waits long when the readers are gone.
func NextStartAction(c StartConditions) StartAction {
	if c.Serving && c.Elapsed >= servingMax {
		return StartRead
	}
	if c.ZoneSize == 0 {
		if c.Elapsed >= emptyListMax+time.Duration(c.Random*float64(unlistedSpread)) {
			return StartRead
		}
		return StartList
	}
	if c.Rank < StartReaderCount(c.ListedFor, c.ZoneSize) {
		return StartRead
	}
	unlistedAt := time.Duration(stepsToAll(c.ZoneSize)+1)*StartStep + time.Duration(c.Random*float64(unlistedSpread))
	if c.ListedFor >= unlistedAt {
		return StartRead
	}
	return StartSubscribe
}

// StartReaderCount returns how many nodes of a zone count as readers for a node that has
// known some of them for a time.
func StartReaderCount(listedFor time.Duration, zoneSize int) int {
	count := RelayCount(zoneSize)
	for range min(stepsAt(listedFor), stepsToAll(zoneSize)) {
		count *= 2
	}
	return min(count, zoneSize)
}

func stepsAt(elapsed time.Duration) int {
	return int(elapsed / StartStep)
}

// stepsToAll returns the number of steps after which all nodes of a zone count as readers.
func stepsToAll(zoneSize int) int {
	steps := 0
	for count := RelayCount(zoneSize); count < zoneSize; count *= 2 {
		steps++
	}
	return steps
}
