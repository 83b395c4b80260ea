// Package membudget decides how many bytes each of several readers may hold in memory.
// It answers peers that send without end, or stop in the middle: what they send never
// takes more than a budget, and small bodies come through beside them.
package membudget

// Budget is shared by readers. Each reader has a reserve of its own; beyond it a reader
// may hold as much of the budget as is left free. So one reader gets half of the
// budget at most, and each further one half of what the others left. It is not
// safe for concurrent use.
type Budget struct {
	max     int
	reserve int
	used    int
}

// New returns a budget of max bytes for what readers hold beyond their reserves.
func New(max, reserve int) *Budget {
	return &Budget{max: max, reserve: reserve}
}

// TryGrow reports whether a reader that holds some bytes may hold n more, and counts them.
func (b *Budget) TryGrow(held, n int) bool {
	more := b.beyond(held+n) - b.beyond(held)
	if more > 0 && b.beyond(held+n) > b.max-b.used {
		return false
	}
	b.used += more
	return true
}

// Release takes back the bytes that a reader held.
func (b *Budget) Release(held int) {
	b.used -= b.beyond(held)
}

// Used returns the bytes that all readers hold beyond their reserves.
func (b *Budget) Used() int {
	return b.used
}

func (b *Budget) beyond(held int) int {
	return max(held-b.reserve, 0)
}
