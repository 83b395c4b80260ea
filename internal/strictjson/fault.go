package strictjson

import (
	"fmt"
	"strings"
)

// Fault is one error in a document.
type Fault struct {
	// Pointer is the JSON pointer (RFC 6901) to the faulty value. It is empty
	// for the whole document.
	Pointer string
	// Reason says what is wrong and what would be right.
	Reason string
}

// Faults is an error that contains the faults of one document.
type Faults struct {
	// File names the document.
	File string
	// List holds at least one fault.
	List []Fault
}

// maxLines bounds the number of faults in the text of an error.
const maxLines = 200

// Error returns one line for each of the first faults, with file, pointer and reason,
// and the number of the remaining ones.
func (f *Faults) Error() string {
	listed := f.List[:min(len(f.List), maxLines)]
	lines := make([]string, 0, len(listed)+1)
	for _, fault := range listed {
		lines = append(lines, f.formatLine(fault))
	}
	if remaining := len(f.List) - len(listed); remaining > 0 {
		lines = append(lines, fmt.Sprintf("%s: and %d more", f.File, remaining))
	}
	return strings.Join(lines, "\n")
}

func (f *Faults) formatLine(fault Fault) string {
	if fault.Pointer == "" {
		return fmt.Sprintf("%s: %s", f.File, fault.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", f.File, fault.Pointer, fault.Reason)
}

// pointerEscapes escapes a name for a JSON pointer (RFC 6901).
var pointerEscapes = strings.NewReplacer("~", "~0", "/", "~1")

// JoinPointer returns the pointer to a member or element of the value at pointer.
func JoinPointer(pointer, member string) string {
	return pointer + "/" + pointerEscapes.Replace(member)
}
