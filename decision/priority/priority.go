// Package priority defines one total order of importance over all calls.
//
// All nodes shed in this order, so the services along a call chain keep the same
// requests instead of each refusing an independent random share.
package priority

// Rank is the position of a class in the catalogue's list of classes.
// Rank 0 is the most important class.
type Rank uint8

// Priority orders calls across the whole fleet. A smaller value is shed later. The upper
// 8 bits hold the class rank, the lower 24 bits a stable hash of the root request.
type Priority uint32

// Bounds of the order.
const (
	// Highest is the last priority to be shed.
	Highest Priority = 0
	// Lowest is the first priority to be shed. As a threshold it means that nothing is
	// shed.
	Lowest Priority = 1<<32 - 1

	hashBits = 24
	hashMask = 1<<hashBits - 1
)

// New returns the priority of a class rank and the hash of a root request.
func New(r Rank, rootHash uint64) Priority {
	return Priority(r)<<hashBits | Priority(rootHash&hashMask)
}

// Rank returns the class rank of p.
func (p Priority) Rank() Rank {
	return Rank(p >> hashBits)
}

// Before reports whether p is shed after other.
func (p Priority) Before(other Priority) bool {
	return p < other
}

// LowestOf returns the lowest priority of a class, which is shed first within it.
func LowestOf(r Rank) Priority {
	return Priority(r)<<hashBits | hashMask
}
