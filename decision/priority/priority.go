// Package priority defines one total order of importance over all calls.
//
// All nodes shed in this order, so the services along a call chain keep the same
// requests instead of each refusing an independent random share.
package priority

// Rank is the position of a class in the catalogue's list of classes.
// Rank 0 is the most important class.
type Rank uint8

// Priority orders calls across the whole fleet. A smaller value is a higher priority: calls
// of a higher priority are shed later. The upper 8 bits hold the class rank, the lower 24
// bits a stable hash of the root request, which is the request that started the call chain.
type Priority uint32

// Bounds of the order.
const (
	// Highest is the priority of the calls that are shed last.
	Highest Priority = 0
	// Lowest is the priority of the calls that are shed first. A threshold is
	// inclusive: calls of the threshold's priority are shed too. As a threshold, Lowest
	// sheds nothing, because a catalogue has at most 8 classes and so no call has it.
	Lowest Priority = 1<<32 - 1

	hashBits = 24
	hashMask = 1<<hashBits - 1
)

// New returns the priority for a class rank and the hash of a root request.
func New(r Rank, rootHash uint64) Priority {
	return Priority(r)<<hashBits | Priority(rootHash&hashMask)
}

// Rank returns the class rank of p.
func (p Priority) Rank() Rank {
	return Rank(p >> hashBits)
}

// HigherThan reports whether calls of priority p are shed after those of priority other.
func (p Priority) HigherThan(other Priority) bool {
	return p < other
}

// LowestOf returns the lowest priority of a class. Its calls are the first of the class to
// be shed.
func LowestOf(r Rank) Priority {
	return Priority(r)<<hashBits | hashMask
}
