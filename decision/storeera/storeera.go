// Package storeera decides what a node may still rely on when the platform's store
// comes back from an older copy of itself. It answers restores of the store, one or
// several in a row: revisions go back and are given out again with other content, so
// a revision says something only within its era.
package storeera

// Position is a point in the history of the store. Nodes tell each other positions
// without the names of the fields.
type Position struct {
	_ struct{} `cbor:",toarray"`
	// Era counts the returns of the store from an older copy. It is 0 until the
	// store has named one.
	Era uint64
	// Revision is the change up to which everything of the era is known, or 0.
	Revision uint64
}

// Before reports whether p lies before other: in an earlier era, whatever the
// revisions are, or at an earlier revision of the same one.
func (p Position) Before(other Position) bool {
	return p.Era < other.Era || p.Era == other.Era && p.Revision < other.Revision
}

// Verdict is what the era of an answer says.
type Verdict uint8

// The verdicts.
const (
	// Current means that the answer goes on with what is known.
	Current Verdict = iota
	// Outdated means that the answer is of an earlier era: nothing of it counts.
	Outdated
	// Restored means that the store has come back from an older copy: no revision
	// that is known counts any more, nor does what was asked with one.
	Restored
)

// Classify returns what an answer of an era says to a node that knows everything up to
// a position.
func Classify(known Position, era uint64) Verdict {
	switch {
	case era < known.Era:
		return Outdated
	case era == known.Era || known == Position{}:
		return Current
	default:
		return Restored
	}
}
