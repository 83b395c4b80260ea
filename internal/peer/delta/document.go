// Package delta splits JSON documents into entries and computes deltas between
// them, so that nodes send only the entries that an edit changed.
package delta

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/adoption"
)

const (
	// MaxEntries bounds the entries of one document.
	MaxEntries = 20_000
	// MaxEntryBytes bounds one entry.
	MaxEntryBytes = 128 << 10
	// MaxDocumentBytes bounds the total size of the entries of one document. It is
	// larger than a value of the platform, as entries repeat the name of their field.
	MaxDocumentBytes = 2 << 20

	// separator separates the field's name and the JSON value of an entry.
	separator = '\n'
	// elementMark is the prefix of the field's name in entries that are list elements.
	elementMark = '['
)

// Hash identifies the content of an entry or of a document.
type Hash = adoption.Hash

// HashOf returns the hash of an entry.
func HashOf(entry []byte) Hash {
	sum := sha256.Sum256(entry)
	return Hash(sum[:len(Hash{})])
}

// Document is an immutable list of entries: one for each field of the JSON
// object, or one for each element where the field is a list.
type Document struct {
	entries [][]byte
	hashes  []Hash
	hash    Hash
	bytes   int
}

// Split splits a JSON object into a document. Objects that differ only in white
// space give the same document.
func Split(object []byte) (*Document, error) {
	var compact bytes.Buffer
	if err := json.Compact(&compact, object); err != nil {
		return nil, errors.Wrap(err, "compact document")
	}
	decoder := json.NewDecoder(&compact)
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return nil, errors.New("document is not a JSON object")
	}
	var entries [][]byte
	for decoder.More() {
		fieldEntries, err := splitField(decoder)
		if err != nil {
			return nil, err
		}
		entries = append(entries, fieldEntries...)
	}
	hashes := make([]Hash, len(entries))
	for i, entry := range entries {
		hashes[i] = HashOf(entry)
	}
	return fromEntries(entries, hashes)
}

// splitField reads one field and returns its entries.
func splitField(decoder *json.Decoder) ([][]byte, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, errors.Wrap(err, "read field name")
	}
	name, ok := token.(string)
	if !ok {
		return nil, errors.Errorf("field name is %v", token)
	}
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		return nil, errors.Wrapf(err, "read field %s", name)
	}
	if value[0] != '[' {
		return [][]byte{newEntry(name, value)}, nil
	}
	var elements []json.RawMessage
	if err := json.Unmarshal(value, &elements); err != nil {
		return nil, errors.Wrapf(err, "read list %s", name)
	}
	var entries [][]byte
	for _, element := range elements {
		entries = append(entries, newEntry(string(elementMark)+name, element))
	}
	return entries, nil
}

func newEntry(name string, value []byte) []byte {
	entry := make([]byte, 0, len(name)+1+len(value))
	entry = append(entry, name...)
	entry = append(entry, separator)
	return append(entry, value...)
}

// fromEntries checks the bounds and computes the hash of the document.
func fromEntries(entries [][]byte, hashes []Hash) (*Document, error) {
	if len(entries) > MaxEntries {
		return nil, errors.Errorf("document has %d entries, at most %d are allowed", len(entries), MaxEntries)
	}
	d := &Document{entries: entries, hashes: hashes}
	all := sha256.New()
	for i, entry := range entries {
		if len(entry) > MaxEntryBytes {
			return nil, errors.Errorf("entry %d has %d bytes, at most %d are allowed", i, len(entry), MaxEntryBytes)
		}
		d.bytes += len(entry)
		all.Write(hashes[i][:])
	}
	if d.bytes > MaxDocumentBytes {
		return nil, errors.Errorf("document has %d bytes, at most %d are allowed", d.bytes, MaxDocumentBytes)
	}
	d.hash = Hash(all.Sum(nil)[:len(Hash{})])
	return d, nil
}

// Hash returns the hash of the document's content.
func (d *Document) Hash() Hash {
	return d.hash
}

// NewListEntry returns the entry of an element of the list field.
func NewListEntry(field string, value []byte) []byte {
	return newEntry(string(elementMark)+field, value)
}

// ListEntry returns the JSON value of an entry that is an element of the list
// field. ok is false for an entry of another kind.
func ListEntry(entry []byte, field string) (value []byte, ok bool) {
	name, value, found := bytes.Cut(entry, []byte{separator})
	ok = found && len(name) == len(field)+1 && name[0] == elementMark && string(name[1:]) == field
	return value, ok
}

// Len returns the number of entries.
func (d *Document) Len() int {
	return len(d.entries)
}

// SizeBytes returns the total size of the entries.
func (d *Document) SizeBytes() int {
	return d.bytes
}

// Join returns the JSON object. Fields whose list is empty are left out.
func (d *Document) Join() ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte('{')
	for i := 0; i < len(d.entries); {
		if i > 0 {
			out.WriteByte(',')
		}
		end, err := d.joinField(&out, i)
		if err != nil {
			return nil, err
		}
		i = end
	}
	out.WriteByte('}')
	return out.Bytes(), nil
}

// joinField writes the field that begins at entry i and returns the index of the
// next field's first entry.
func (d *Document) joinField(out *bytes.Buffer, i int) (int, error) {
	name, value, ok := bytes.Cut(d.entries[i], []byte{separator})
	if !ok || len(name) == 0 {
		return 0, errors.Errorf("entry %d has no field name", i)
	}
	isList := name[0] == elementMark
	quoted, err := json.Marshal(string(bytes.TrimPrefix(name, []byte{elementMark})))
	if err != nil {
		return 0, errors.Wrapf(err, "entry %d", i)
	}
	out.Write(quoted)
	out.WriteByte(':')
	if !isList {
		out.Write(value)
		return i + 1, nil
	}
	out.WriteByte('[')
	out.Write(value)
	for i++; i < len(d.entries); i++ {
		next, value, _ := bytes.Cut(d.entries[i], []byte{separator})
		if !bytes.Equal(next, name) {
			break
		}
		out.WriteByte(',')
		out.Write(value)
	}
	out.WriteByte(']')
	return i, nil
}
