// Package membudget limits how many bytes each of several readers may hold in memory. It
// handles peers that send without end or stop in the middle of a body: their data never
// exceeds a budget, and small bodies can still be read.
package membudget

// Budget is shared by readers. Each reader has a reserve of its own; beyond the reserve a
// reader may hold at most as many bytes as remain free in the budget. A single reader
// therefore gets at most half of the budget, and each further one half of the remainder.
// It is not safe for concurrent use.
type Budget struct {
	max     int // bytes
	reserve int // bytes for each reader
	used    int // bytes
}

// New returns a budget of max bytes beyond the readers' reserves of reserve bytes each.
func New(max, reserve int) *Budget {
	return &Budget{max: max, reserve: reserve}
}

// TryGrow reports whether a reader that holds held bytes may hold n more, and counts them
// if it may.
func (b *Budget) TryGrow(held, n int) bool {
	more := b.beyondReserve(held+n) - b.beyondReserve(held)
	if more > 0 && b.beyondReserve(held+n) > b.max-b.used {
		return false
	}
	b.used += more
	return true
}

// Release returns the bytes held by a reader to the budget.
func (b *Budget) Release(held int) {
	b.used -= b.beyondReserve(held)
}

// Used returns the bytes that all readers hold beyond their reserves.
func (b *Budget) Used() int {
	return b.used
}

func (b *Budget) beyondReserve(held int) int {
	return max(held-b.reserve, 0)
}
