// Package blackboard holds the typed entries through which the controllers of
// the control thread exchange their results. Each entry has one writer; every
// controller may read it. Only the control thread accesses entries, so they need
// no lock.
package blackboard

// Entry is one value on the blackboard.
type Entry[T any] struct {
	name    string
	value   T
	version uint64
	owner   string
}

// NewEntry returns an entry without a writer. name identifies it in errors.
func NewEntry[T any](name string, initial T) *Entry[T] {
	return &Entry[T]{name: name, value: initial}
}

// Get returns the value. The reader must not change data to which it points.
func (e *Entry[T]) Get() T {
	return e.value
}

// Version returns the number of changes of the entry.
func (e *Entry[T]) Version() uint64 {
	return e.version
}

// Owner returns the name of the entry's writer, or "" before it is claimed.
func (e *Entry[T]) Owner() string {
	return e.owner
}

// Writer sets the value of one entry.
type Writer[T any] struct {
	entry *Entry[T]
}

// Claim returns the only writer of the entry and records its owner. A second claim
// is a programming error and panics.
func (e *Entry[T]) Claim(owner string) *Writer[T] {
	if e.owner != "" {
		panic("blackboard: " + e.name + " is written by " + e.owner + ", not by " + owner)
	}
	e.owner = owner
	return &Writer[T]{entry: e}
}

// Set replaces the value.
func (w *Writer[T]) Set(value T) {
	w.entry.value = value
	w.entry.version++
}
