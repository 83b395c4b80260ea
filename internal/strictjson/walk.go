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
	// maxFaults bounds the faults that are listed.
	maxFaults = 200
	// maxNameBytes bounds a name that a fault repeats.
	maxNameBytes = 64
)

// walker compares a stream of tokens with a type.
type walker struct {
	tokens *json.Decoder
	faults []Fault
	fields map[reflect.Type]fieldSet
	path   []segment // from the document to the value at hand
}

// segment is one step of a path. It becomes text only when a fault needs it.
type segment struct {
	name  string
	index int // the position in a list, or isMember
}

// isMember marks the segment of an object's member.
const isMember = -1

func (s segment) text() string {
	if s.index == isMember {
		return shorten(s.name)
	}
	return strconv.Itoa(s.index)
}

// pointer returns the JSON pointer to the value at hand.
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

// document walks one document and reports whether it is complete.
func (w *walker) document(t reflect.Type) bool {
	return w.value(t)
}

// value walks one value of type t. A nil type takes any value. It reports
// whether the value is complete; when it is not, the syntax is at fault.
func (w *walker) value(t reflect.Type) bool {
	token, err := w.tokens.Token()
	if err != nil {
		return false
	}
	if len(w.path) > maxDepth {
		w.fault("nested too deeply; want at most %d levels", maxDepth)
		return w.skip(token)
	}
	t = target(t)
	switch v := token.(type) {
	case json.Delim:
		if v == '{' {
			return w.object(t)
		}
		return w.array(t)
	case nil:
		if t != nil {
			w.fault("null is no value; want %s, or leave it out", kindName(t))
		}
	case json.Number:
		w.number(t, v)
	case string:
		w.scalar(t, reflect.String, "text")
	case bool:
		w.scalar(t, reflect.Bool, "true or false")
	}
	return true
}

// target returns the type behind pointers, or nil when any value may stand.
func target(t reflect.Type) reflect.Type {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == nil || t.Kind() == reflect.Interface {
		return nil
	}
	if decodesItself(t) {
		return nil
	}
	return t
}

var (
	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

func decodesItself(t reflect.Type) bool {
	p := reflect.PointerTo(t)
	return p.Implements(jsonUnmarshaler) || p.Implements(textUnmarshaler)
}

// skip walks the rest of a value whose first token was read.
func (w *walker) skip(token json.Token) bool {
	open := 0
	for {
		if d, ok := token.(json.Delim); ok {
			open += step(d)
		}
		if open == 0 {
			return true
		}
		var err error
		token, err = w.tokens.Token()
		if err != nil {
			return false
		}
	}
}

func step(d json.Delim) int {
	if d == '{' || d == '[' {
		return 1
	}
	return -1
}

func (w *walker) object(t reflect.Type) bool {
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
		w.push(segment{name, isMember})
		if seen[name] {
			w.fault("the key stands twice in one object; want it once")
		}
		seen[name] = true
		if !w.value(w.memberType(t, name)) {
			return false
		}
		w.pop()
	}
	_, err := w.tokens.Token()
	return err == nil
}

// memberType returns the type of a member, or nil when any value may stand.
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

func (w *walker) array(t reflect.Type) bool {
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
		if !w.value(element) {
			return false
		}
		w.pop()
	}
	_, err := w.tokens.Token()
	return err == nil
}

func (w *walker) scalar(t reflect.Type, kind reflect.Kind, name string) {
	if t != nil && t.Kind() != kind {
		w.fault("have %s; want %s", name, kindName(t))
	}
}

func (w *walker) number(t reflect.Type, n json.Number) {
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
		w.fault("have %s; want %s", shorten(n.String()), kindName(t))
	}
}

func shorten(name string) string {
	if len(name) <= maxNameBytes {
		return name
	}
	return strings.ToValidUTF8(name[:maxNameBytes], "") + "…"
}
