package strictjson

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a document.
type Fault struct {
	// Pointer is the JSON pointer (RFC 6901) to the faulty value. It is empty
	// for the whole document.
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

// maxLines bounds the text of an error.
const maxLines = 200

// Error returns one line for each fault: file, pointer, reason. Of very many it
// returns the first.
func (f *Faults) Error() string {
	listed := f.List[:min(len(f.List), maxLines)]
	lines := make([]string, 0, len(listed)+1)
	for _, one := range listed {
		lines = append(lines, f.line(one))
	}
	if left := len(f.List) - len(listed); left > 0 {
		lines = append(lines, fmt.Sprintf("%s: and %d more", f.File, left))
	}
	return strings.Join(lines, "\n")
}

func (f *Faults) line(one Fault) string {
	if one.Pointer == "" {
		return fmt.Sprintf("%s: %s", f.File, one.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", f.File, one.Pointer, one.Reason)
}

var pointerEscapes = strings.NewReplacer("~", "~0", "/", "~1")

// JoinPointer returns the pointer to a member or element of the value at pointer.
func JoinPointer(pointer, member string) string {
	return pointer + "/" + pointerEscapes.Replace(member)
}
