// Package strictjson decodes JSON documents that operators write. It reports every
// fault with its location instead of stopping at the first one.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Decode decodes data into the struct that target points to. file is used in errors
// only. Field names are case-sensitive. The error is a *Faults that lists unknown
// fields, duplicate keys, values of a wrong type, null, nesting deeper than 32 levels,
// and the first syntax error.
func Decode(file string, data []byte, target any) error {
	faults := check(data, reflect.TypeOf(target).Elem())
	if len(faults) > 0 {
		return &Faults{File: file, List: faults}
	}
	if err := json.Unmarshal(data, target); err != nil {
		return &Faults{File: file, List: []Fault{{Reason: err.Error()}}}
	}
	return nil
}

// check returns the faults of data as a document of type t.
func check(data []byte, t reflect.Type) []Fault {
	if len(bytes.TrimSpace(data)) == 0 {
		return []Fault{{Reason: "the document is empty; want " + kindName(t)}}
	}
	if !utf8.Valid(data) {
		return []Fault{{Reason: "the text is not UTF-8"}}
	}
	w := newWalker(data)
	complete := w.walkDocument(t)
	faults := w.faults
	if json.Valid(data) {
		return faults
	}
	var syntax *json.SyntaxError
	err := json.Unmarshal(data, &json.RawMessage{})
	if errors.As(err, &syntax) {
		faults = append(faults, syntaxFault(data, syntax, complete))
	}
	return faults
}

// syntaxFault returns the fault for a syntax error, with its line and column. complete
// says that a complete document precedes it.
func syntaxFault(data []byte, err *json.SyntaxError, complete bool) Fault {
	line, column := position(data, err.Offset)
	reason := err.Error()
	if complete {
		reason = "text after the end of the document"
	}
	return Fault{Reason: fmt.Sprintf("line %d, column %d: %s", line, column, reason)}
}

// position returns the line and column, from 1, of the byte before offset.
func position(data []byte, offset int64) (line, column int) {
	index := min(max(offset-1, 0), int64(len(data)))
	before := data[:index]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
