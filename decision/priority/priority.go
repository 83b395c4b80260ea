// Package priority gives every call a place in one total order of importance.
//
// All nodes shed in the same order, so the services along a chain keep the
// same requests instead of each refusing a random share of its own.
package priority

// Rank is the position of a class in the catalogue's list of classes.
// Rank 0 is the most important class.
type Rank uint8

// Priority orders calls over the whole fleet. A smaller value is kept longer.
// The upper 8 bits hold the class rank, the lower 24 bits a stable hash of the
// root request.
type Priority uint32

// Bounds of the order.
const (
	// Highest is kept before every other priority.
	Highest Priority = 0
	// Lowest is the first to be shed. As a threshold it means "shed nothing".
	Lowest Priority = 1<<32 - 1

	hashBits = 24
	hashMask = 1<<hashBits - 1
)

// New combines a class rank and the hash of a root request.
func New(r Rank, rootHash uint64) Priority {
	return Priority(r)<<hashBits | Priority(rootHash&hashMask)
}

// Rank returns the class rank of p.
func (p Priority) Rank() Rank {
	return Rank(p >> hashBits)
}

// Before reports whether p is kept when other is shed.
func (p Priority) Before(other Priority) bool {
	return p < other
}

// LowestOf returns the last priority of a class, the first of it to be shed.
func LowestOf(r Rank) Priority {
	return Priority(r)<<hashBits | hashMask
}
