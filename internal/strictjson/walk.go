package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

const (
	// maxDepth bounds the nesting of a document.
	maxDepth = 32
	// maxFaults bounds the number of faults collected.
	maxFaults = 200
	// maxNameBytes bounds a name that a fault quotes.
	maxNameBytes = 64
)

// walker checks a stream of JSON tokens against a type.
type walker struct {
	tokens *json.Decoder
	faults []Fault
	fields map[reflect.Type]fieldSet
	path   []segment // from the document to the current value
}

// segment is one step of a path. It is converted to text only for a fault.
type segment struct {
	name  string
	index int // index in a list, or noIndex for a member of an object
}

// noIndex is the index of a segment that is a member of an object.
const noIndex = -1

func (s segment) text() string {
	if s.index == noIndex {
		return truncate(s.name)
	}
	return strconv.Itoa(s.index)
}

// pointer returns the JSON pointer to the current value.
func (w *walker) pointer() string {
	pointer := ""
	for _, s := range w.path {
		pointer = JoinPointer(pointer, s.text())
	}
	return pointer
}

func (w *walker) push(s segment) {
	w.path = append(w.path, s)
}

func (w *walker) pop() {
	w.path = w.path[:len(w.path)-1]
}

func newWalker(data []byte) *walker {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	return &walker{tokens: d, fields: make(map[reflect.Type]fieldSet)}
}

func (w *walker) fault(format string, args ...any) {
	if len(w.faults) == maxFaults {
		w.faults = append(w.faults, Fault{Reason: "more faults follow"})
	}
	if len(w.faults) > maxFaults {
		return
	}
	w.faults = append(w.faults, Fault{Pointer: w.pointer(), Reason: fmt.Sprintf(format, args...)})
}

// walkDocument checks one document and reports whether it is complete.
func (w *walker) walkDocument(t reflect.Type) bool {
	return w.walkValue(t)
}

// walkValue checks one value against type t. A nil type accepts any value. It reports
// whether the value is complete; if it isn't, the document has a syntax error.
func (w *walker) walkValue(t reflect.Type) bool {
	token, err := w.tokens.Token()
	if err != nil {
		return false
	}
	if len(w.path) > maxDepth {
		w.fault("nested too deeply; want at most %d levels", maxDepth)
		return w.skip(token)
	}
	t = underlyingType(t)
	switch v := token.(type) {
	case json.Delim:
		if v == '{' {
			return w.walkObject(t)
		}
		return w.walkArray(t)
	case nil:
		if t != nil {
			w.fault("null is not allowed; want %s, or omit the field", kindName(t))
		}
	case json.Number:
		w.checkNumber(t, v)
	case string:
		w.checkScalar(t, reflect.String, "text")
	case bool:
		w.checkScalar(t, reflect.Bool, "true or false")
	}
	return true
}

// underlyingType returns the type behind pointers, or nil if any value is allowed.
func underlyingType(t reflect.Type) reflect.Type {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == nil || t.Kind() == reflect.Interface {
		return nil
	}
	if hasOwnUnmarshaler(t) {
		return nil
	}
	return t
}

var (
	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

func hasOwnUnmarshaler(t reflect.Type) bool {
	p := reflect.PointerTo(t)
	return p.Implements(jsonUnmarshaler) || p.Implements(textUnmarshaler)
}

// skip reads the rest of a value whose first token was read.
func (w *walker) skip(token json.Token) bool {
	depth := 0
	for {
		if d, ok := token.(json.Delim); ok {
			depth += nestingChange(d)
		}
		if depth == 0 {
			return true
		}
		var err error
		token, err = w.tokens.Token()
		if err != nil {
			return false
		}
	}
}

// nestingChange returns the change of the nesting depth at a delimiter.
func nestingChange(d json.Delim) int {
	if d == '{' || d == '[' {
		return 1
	}
	return -1
}

func (w *walker) walkObject(t reflect.Type) bool {
	if t != nil && t.Kind() != reflect.Struct && t.Kind() != reflect.Map {
		w.fault("have an object; want %s", kindName(t))
		return w.skip(json.Delim('{'))
	}
	seen := map[string]bool{}
	for w.tokens.More() {
		token, err := w.tokens.Token()
		if err != nil {
			return false
		}
		name, ok := token.(string)
		if !ok {
			return false
		}
		w.push(segment{name, noIndex})
		if seen[name] {
			w.fault("duplicate key; want each key once in an object")
		}
		seen[name] = true
		if !w.walkValue(w.memberType(t, name)) {
			return false
		}
		w.pop()
	}
	_, err := w.tokens.Token()
	return err == nil
}

// memberType returns the type of a member, or nil if any value is allowed. It reports
// an unknown field.
func (w *walker) memberType(t reflect.Type, name string) reflect.Type {
	if t == nil {
		return nil
	}
	if t.Kind() == reflect.Map {
		return t.Elem()
	}
	fields := w.fieldsOf(t)
	if member, ok := fields.types[name]; ok {
		return member
	}
	w.fault("unknown field; %s", fields.suggest(name))
	return nil
}

func (w *walker) walkArray(t reflect.Type) bool {
	if t != nil && t.Kind() != reflect.Slice && t.Kind() != reflect.Array {
		w.fault("have a list; want %s", kindName(t))
		return w.skip(json.Delim('['))
	}
	var element reflect.Type
	if t != nil {
		element = t.Elem()
	}
	for i := 0; w.tokens.More(); i++ {
		w.push(segment{index: i})
		if !w.walkValue(element) {
			return false
		}
		w.pop()
	}
	_, err := w.tokens.Token()
	return err == nil
}

func (w *walker) checkScalar(t reflect.Type, kind reflect.Kind, name string) {
	if t != nil && t.Kind() != kind {
		w.fault("have %s; want %s", name, kindName(t))
	}
}

func (w *walker) checkNumber(t reflect.Type, n json.Number) {
	if t == nil {
		return
	}
	var err error
	switch {
	case t.Kind() >= reflect.Int && t.Kind() <= reflect.Int64:
		_, err = strconv.ParseInt(n.String(), 10, t.Bits())
	case t.Kind() >= reflect.Uint && t.Kind() <= reflect.Uint64:
		_, err = strconv.ParseUint(n.String(), 10, t.Bits())
	case t.Kind() == reflect.Float32 || t.Kind() == reflect.Float64:
		_, err = strconv.ParseFloat(n.String(), t.Bits())
	default:
		w.fault("have a number; want %s", kindName(t))
	}
	if err != nil {
		w.fault("have %s; want %s", truncate(n.String()), kindName(t))
	}
}

// truncate truncates a name to maxNameBytes.
func truncate(name string) string {
	if len(name) <= maxNameBytes {
		return name
	}
	return strings.ToValidUTF8(name[:maxNameBytes], "") + "…"
}
