// Package strictjson decodes JSON documents that operators write. It lists
// every fault with its place instead of stopping at the first one.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// Fault is one thing wrong with a document.
type Fault struct {
	// Pointer is the JSON pointer (RFC 6901) to the faulty value.
	Pointer string
	// Reason says what is wrong and what would be right.
	Reason string
}

// Faults is every fault of one document. It is an error.
type Faults struct {
	// File names the document.
	File string
	// List holds at least one fault.
	List []Fault
}

// Error returns one line for each fault: file, pointer, reason.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.List))
	for _, one := range f.List {
		lines = append(lines, fmt.Sprintf("%s: %s: %s", f.File, one.Pointer, one.Reason))
	}
	return strings.Join(lines, "\n")
}

// Decode reads data into the struct that into points to. file is used in
// errors only. Unknown fields are faults. The error is a *Faults.
func Decode(file string, data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return &Faults{File: file, List: []Fault{{Pointer: "", Reason: err.Error()}}}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &Faults{File: file, List: []Fault{{Pointer: "", Reason: "text after the document"}}}
	}
	return nil
}

// ReadFile reads a file of at most limit bytes.
func ReadFile(file string, limit int64) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrapf(err, "open %s", file)
	}
	defer func() { _ = f.Close() }() // only read from
	data, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", file)
	}
	if int64(len(data)) > limit {
		return nil, errors.Errorf("%s: larger than %d bytes", file, limit)
	}
	return data, nil
}
