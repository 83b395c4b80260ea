// Package blackboard holds the typed entries through which the controllers of
// the control thread exchange their results. Each entry has one writer; every
// controller may read it. Only the control thread accesses entries, so they need
// no lock.
package blackboard

// Entry is one value on the blackboard.
type Entry[T any] struct {
	name       string
	value      T
	version    uint64
	writerName string
}

// NewEntry returns an entry without a writer. name identifies the entry in panics.
func NewEntry[T any](name string, initial T) *Entry[T] {
	return &Entry[T]{name: name, value: initial}
}

// Get returns the value. The reader must not change data to which it points.
func (e *Entry[T]) Get() T {
	return e.value
}

// Version returns the number of calls of Set, including those that set an equal value.
func (e *Entry[T]) Version() uint64 {
	return e.version
}

// WriterName returns the name of the entry's writer, or "" before it is claimed.
func (e *Entry[T]) WriterName() string {
	return e.writerName
}

// Writer sets the value of one entry.
type Writer[T any] struct {
	entry *Entry[T]
}

// Claim returns the only writer of the entry and records the writer's name. A second claim
// is a programming error and panics.
func (e *Entry[T]) Claim(writerName string) *Writer[T] {
	if e.writerName != "" {
		panic("blackboard: entry " + e.name + " is already claimed by " + e.writerName + "; it cannot be claimed by " + writerName)
	}
	e.writerName = writerName
	return &Writer[T]{entry: e}
}

// Set replaces the value.
func (w *Writer[T]) Set(value T) {
	w.entry.value = value
	w.entry.version++
}
