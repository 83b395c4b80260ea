package delta

import "github.com/pkg/errors"

// Step is one step of building a document: it copies a run of entries of the
// base, or adds the next new entry when Count is 0.
type Step struct {
	// From is the first entry of the base to copy.
	From uint32 `cbor:"1,keyasint,omitempty"`
	// Count is the number of entries to copy.
	Count uint32 `cbor:"2,keyasint,omitempty"`
}

// Delta tells how to build one document from another.
type Delta struct {
	// Base is the hash of the document to begin with; zero stands for the empty
	// document.
	Base Hash
	// Hash is the hash of the result.
	Hash Hash
	// Steps build the result.
	Steps []Step
	// Entries holds the new entries in the order of the steps that add them.
	Entries [][]byte
}

// Empty is the document without entries.
var Empty = &Document{}

// Diff returns the delta from base to d. What both begin and end with is copied
// without a look at each entry's place.
func Diff(base, d *Document) *Delta {
	head, tail := 0, 0
	shorter := min(len(base.hashes), len(d.hashes))
	for head < shorter && base.hashes[head] == d.hashes[head] {
		head++
	}
	for tail < shorter-head && base.hashes[len(base.hashes)-1-tail] == d.hashes[len(d.hashes)-1-tail] {
		tail++
	}
	place := make(map[Hash]uint32, len(base.hashes)-head-tail)
	for i := head; i < len(base.hashes)-tail; i++ {
		place[base.hashes[i]] = uint32(i)
	}
	out := &Delta{Base: base.hash, Hash: d.hash}
	out.CopyEntries(0, head)
	for i := head; i < len(d.hashes)-tail; i++ {
		at, known := place[d.hashes[i]]
		if !known {
			out.AddEntry(d.entries[i])
			continue
		}
		out.CopyEntries(int(at), 1)
	}
	out.CopyEntries(len(base.hashes)-tail, tail)
	return out
}

// AddEntry adds a new entry.
func (x *Delta) AddEntry(entry []byte) {
	x.Steps = append(x.Steps, Step{})
	x.Entries = append(x.Entries, entry)
}

// CopyEntries adds count entries of the base from one on, in the last step if they fit
// there.
func (x *Delta) CopyEntries(from, count int) {
	if count == 0 {
		return
	}
	if n := len(x.Steps); n > 0 {
		last := &x.Steps[n-1]
		if last.Count > 0 && int(last.From+last.Count) == from {
			last.Count += uint32(count)
			return
		}
	}
	x.Steps = append(x.Steps, Step{From: uint32(from), Count: uint32(count)})
}

// Apply builds the document of a delta. It trusts nothing in the delta.
func Apply(base *Document, x *Delta) (*Document, error) {
	if base.hash != x.Base {
		return nil, errors.New("delta is for another base")
	}
	d, err := ApplyUnverified(base, x)
	if err != nil {
		return nil, err
	}
	if d.hash != x.Hash {
		return nil, errors.New("delta gives other content than it names")
	}
	return d, nil
}

// ApplyUnverified makes the document of a delta whose hashes are not known yet.
func ApplyUnverified(base *Document, x *Delta) (*Document, error) {
	entries := make([][]byte, 0, len(base.entries)+len(x.Entries))
	hashes := make([]Hash, 0, cap(entries))
	added := 0
	for _, s := range x.Steps {
		if s.Count == 0 {
			if added == len(x.Entries) {
				return nil, errors.New("delta lacks an entry")
			}
			entries = append(entries, x.Entries[added])
			hashes = append(hashes, HashOf(x.Entries[added]))
			added++
			continue
		}
		end := uint64(s.From) + uint64(s.Count)
		if end > uint64(len(base.entries)) || uint64(len(entries))+uint64(s.Count) > MaxEntries {
			return nil, errors.New("delta copies entries that the base lacks")
		}
		entries = append(entries, base.entries[s.From:end]...)
		hashes = append(hashes, base.hashes[s.From:end]...)
	}
	if added != len(x.Entries) {
		return nil, errors.New("delta has an entry too many")
	}
	return fromEntries(entries, hashes)
}
