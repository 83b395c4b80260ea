// Package adoption decides which version of a document a node puts into force. Versions
// are ordered by the platform's revision; a node never returns to an earlier one.
package adoption

// Hash identifies the content of a document.
type Hash [16]byte

// Version identifies one state of a document.
type Version struct {
	// Revision is the platform's revision of the state, or 0 for none.
	Revision uint64
	// Hash identifies the content.
	Hash Hash
}

// Verdict is the decision on an offered version.
type Verdict uint8

// The verdicts.
const (
	// Same means that the version is already in force.
	Same Verdict = iota
	// Adopt means that the version is newer and is put into force.
	Adopt
	// Older means that the version is older than the one in force.
	Older
	// Conflict means that the version has the revision in force but other content.
	Conflict
)

var verdictNames = [...]string{"same", "adopt", "older", "conflict"}

// String returns the name of the verdict.
func (v Verdict) String() string {
	return verdictNames[v]
}

// Decide compares an offered version with the one in force.
func Decide(current, offered Version) Verdict {
	switch {
	case offered.Revision > current.Revision:
		return Adopt
	case offered.Revision < current.Revision:
		return Older
	case offered.Hash != current.Hash:
		return Conflict
	default:
		return Same
	}
}
