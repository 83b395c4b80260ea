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

// Diff returns the delta from base to d.
func Diff(base, d *Document) *Delta {
	place := make(map[Hash]uint32, len(base.hashes))
	for i, h := range base.hashes {
		place[h] = uint32(i)
	}
	out := &Delta{Base: base.hash, Hash: d.hash}
	for i, h := range d.hashes {
		at, known := place[h]
		if !known {
			out.Steps = append(out.Steps, Step{})
			out.Entries = append(out.Entries, d.entries[i])
			continue
		}
		out.copyEntry(at)
	}
	return out
}

// copyEntry adds one entry of the base, in the last step if it fits there.
func (x *Delta) copyEntry(at uint32) {
	if n := len(x.Steps); n > 0 {
		last := &x.Steps[n-1]
		if last.Count > 0 && last.From+last.Count == at {
			last.Count++
			return
		}
	}
	x.Steps = append(x.Steps, Step{From: at, Count: 1})
}

// Apply builds the document of a delta. It trusts nothing in the delta.
func Apply(base *Document, x *Delta) (*Document, error) {
	if base.hash != x.Base {
		return nil, errors.New("delta is for another base")
	}
	var entries [][]byte
	added := 0
	for _, s := range x.Steps {
		if s.Count == 0 {
			if added == len(x.Entries) {
				return nil, errors.New("delta lacks an entry")
			}
			entries = append(entries, x.Entries[added])
			added++
			continue
		}
		end := uint64(s.From) + uint64(s.Count)
		if end > uint64(len(base.entries)) || uint64(len(entries))+uint64(s.Count) > MaxEntries {
			return nil, errors.New("delta copies entries that the base lacks")
		}
		entries = append(entries, base.entries[s.From:end]...)
	}
	if added != len(x.Entries) {
		return nil, errors.New("delta has an entry too many")
	}
	d, err := fromEntries(entries)
	if err != nil {
		return nil, err
	}
	if d.hash != x.Hash {
		return nil, errors.New("delta gives other content than it names")
	}
	return d, nil
}
