package delta

import "github.com/pkg/errors"

// Step is one step of building a document: it copies consecutive entries of the
// base, or adds the next new entry if Count is 0.
type Step struct {
	// From is the first entry of the base to copy.
	From uint32 `cbor:"1,keyasint,omitempty"`
	// Count is the number of entries to copy.
	Count uint32 `cbor:"2,keyasint,omitempty"`
}

// Delta describes how to build one document from another.
type Delta struct {
	// Base is the hash of the document to which the delta applies; zero means the
	// empty document.
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

// Diff returns the delta from base to d. The common prefix and suffix are copied
// without a lookup of each entry.
func Diff(base, d *Document) *Delta {
	head, tail := 0, 0
	shorter := min(len(base.hashes), len(d.hashes))
	for head < shorter && base.hashes[head] == d.hashes[head] {
		head++
	}
	for tail < shorter-head && base.hashes[len(base.hashes)-1-tail] == d.hashes[len(d.hashes)-1-tail] {
		tail++
	}
	baseIndex := make(map[Hash]uint32, len(base.hashes)-head-tail)
	for i := head; i < len(base.hashes)-tail; i++ {
		baseIndex[base.hashes[i]] = uint32(i)
	}
	out := &Delta{Base: base.hash, Hash: d.hash}
	out.CopyEntries(0, head)
	for i := head; i < len(d.hashes)-tail; i++ {
		index, known := baseIndex[d.hashes[i]]
		if !known {
			out.AddEntry(d.entries[i])
			continue
		}
		out.CopyEntries(int(index), 1)
	}
	out.CopyEntries(len(base.hashes)-tail, tail)
	return out
}

// AddEntry adds a new entry.
func (d *Delta) AddEntry(entry []byte) {
	d.Steps = append(d.Steps, Step{})
	d.Entries = append(d.Entries, entry)
}

// CopyEntries copies count entries of the base, beginning at from. It extends the
// last step if the entries follow those of that step.
func (d *Delta) CopyEntries(from, count int) {
	if count == 0 {
		return
	}
	if n := len(d.Steps); n > 0 {
		last := &d.Steps[n-1]
		if last.Count > 0 && int(last.From+last.Count) == from {
			last.Count += uint32(count)
			return
		}
	}
	d.Steps = append(d.Steps, Step{From: uint32(from), Count: uint32(count)})
}

// Apply builds the document of a delta from an untrusted source. It checks all
// bounds and both hashes.
func Apply(base *Document, delta *Delta) (*Document, error) {
	if base.hash != delta.Base {
		return nil, errors.New("delta is for another base")
	}
	d, err := ApplyUnverified(base, delta)
	if err != nil {
		return nil, err
	}
	if d.hash != delta.Hash {
		return nil, errors.New("content of the delta does not match its hash")
	}
	return d, nil
}

// ApplyUnverified builds the document of a delta without a check of its hashes,
// for deltas whose hashes are not set yet.
func ApplyUnverified(base *Document, delta *Delta) (*Document, error) {
	entries := make([][]byte, 0, len(base.entries)+len(delta.Entries))
	hashes := make([]Hash, 0, cap(entries))
	added := 0
	for _, s := range delta.Steps {
		if s.Count == 0 {
			if added == len(delta.Entries) {
				return nil, errors.New("delta has fewer entries than steps that add one")
			}
			entries = append(entries, delta.Entries[added])
			hashes = append(hashes, HashOf(delta.Entries[added]))
			added++
			continue
		}
		end := uint64(s.From) + uint64(s.Count)
		if end > uint64(len(base.entries)) || uint64(len(entries))+uint64(s.Count) > MaxEntries {
			return nil, errors.New("delta copies entries beyond the base or too many entries")
		}
		entries = append(entries, base.entries[s.From:end]...)
		hashes = append(hashes, base.hashes[s.From:end]...)
	}
	if added != len(delta.Entries) {
		return nil, errors.New("delta has more entries than steps that add one")
	}
	return fromEntries(entries, hashes)
}
