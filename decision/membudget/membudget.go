// Package membudget decides how many bytes each of several readers may hold in memory.
// It answers peers that send without end: what they send never takes more than a
// budget, and the reader that holds the most is the one that gets no more, so that
// small bodies still come through beside it.
package membudget

// Budget is shared by readers. A reader may hold as much as is left free, so that one
// reader gets half of the budget at most and n readers without end an equal part of
// n/(n+1) of it. It is not safe for concurrent use.
type Budget struct {
	max  int
	used int
}

// New returns a budget of a number of bytes.
func New(max int) *Budget {
	return &Budget{max: max}
}

// Grow reports whether a reader that holds some bytes may hold n more, and counts them.
func (b *Budget) Grow(held, n int) bool {
	if held+n > b.max-b.used {
		return false
	}
	b.used += n
	return true
}

// Release takes back the bytes that a reader held.
func (b *Budget) Release(held int) {
	b.used -= held
}

// Used returns the bytes that all readers hold.
func (b *Budget) Used() int {
	return b.used
}
