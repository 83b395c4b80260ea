// Package membudget limits how many bytes each of several holders may keep in memory. It
// handles peers that send without end, stop in the middle of a body or do not read: what is
// held for them never exceeds a budget, and small requests and answers are still served.
package membudget

// Budget is shared by holders. Each holder has a reserve of its own; beyond the reserve it
// may hold at most weight times as many bytes as remain free in the budget. With weight 1 a
// single holder therefore gets at most half of the budget, and each further one half of the
// remainder. It is not safe for concurrent use.
type Budget struct {
	max     int // bytes
	reserve int // bytes for each holder
	weight  int
	used    int // bytes
}

// New returns a budget of max bytes beyond the holders' reserves of reserve bytes each.
func New(max, reserve int) *Budget {
	return NewWeighted(max, reserve, 1)
}

// NewWeighted returns a budget of which a single holder gets at most the part
// weight/(weight+1).
func NewWeighted(max, reserve, weight int) *Budget {
	return &Budget{max: max, reserve: reserve, weight: weight}
}

// TryGrow reports whether a holder of held bytes may hold n more, and counts them if it may.
func (b *Budget) TryGrow(held, n int) bool {
	more := b.beyondReserve(held+n) - b.beyondReserve(held)
	free := b.max - b.used - more
	if more > 0 && (free < 0 || b.beyondReserve(held+n) > b.weight*free) {
		return false
	}
	b.used += more
	return true
}

// Shrink returns n of the bytes held by a holder to the budget.
func (b *Budget) Shrink(held, n int) {
	b.used -= b.beyondReserve(held) - b.beyondReserve(held-n)
}

// Release returns the bytes held by a holder to the budget.
func (b *Budget) Release(held int) {
	b.Shrink(held, held)
}

// Used returns the bytes that all holders have beyond their reserves.
func (b *Budget) Used() int {
	return b.used
}

// Reserve returns the bytes that each holder has outside the budget.
func (b *Budget) Reserve() int {
	return b.reserve
}

func (b *Budget) beyondReserve(held int) int {
	return max(held-b.reserve, 0)
}
