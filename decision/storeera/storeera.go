// Package storeera decides which knowledge of a node remains valid when the platform's
// store is restored from an older copy, once or several times in succession. A restore
// sets revisions back and reuses them for other content, so a revision is meaningful only
// within its era.
package storeera

// Position is a point in the history of the store. Nodes exchange positions without the
// field names.
type Position struct {
	_ struct{} `cbor:",toarray"`
	// Era counts the restores of the store from an older copy. It is 0 until the store
	// has reported an era.
	Era uint64
	// Revision is the revision up to which all changes of the era are known, or 0.
	Revision uint64
}

// Before reports whether p precedes other: it is in an earlier era, whatever the
// revisions, or at an earlier revision of the same era.
func (p Position) Before(other Position) bool {
	return p.Era < other.Era || p.Era == other.Era && p.Revision < other.Revision
}

// Verdict classifies an answer of the store by its era.
type Verdict uint8

// The verdicts.
const (
	// Current means that the answer continues the known history.
	Current Verdict = iota
	// Outdated means that the answer is of an earlier era and must be ignored.
	Outdated
	// Restored means that the store was restored from an older copy: the known revisions
	// and the answers to queries that used one are invalid.
	Restored
)

// Classify returns the verdict on an answer of an era for a node that knows all changes
// up to a position.
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
