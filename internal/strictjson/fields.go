package strictjson

import (
	"fmt"
	"reflect"
	"strings"
)

// fieldSet holds the JSON fields of a struct.
type fieldSet struct {
	types map[string]reflect.Type
	names []string // in the order of the struct
}

func (w *walker) fieldsOf(t reflect.Type) fieldSet {
	if known, ok := w.fields[t]; ok {
		return known
	}
	set := fieldSet{types: make(map[string]reflect.Type)}
	for _, f := range reflect.VisibleFields(t) {
		if f.Anonymous || !f.IsExported() {
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "-" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		set.types[name] = f.Type
		set.names = append(set.names, name)
	}
	w.fields[t] = set
	return set
}

// suggest returns the hint of an unknown-field fault: the known field whose name differs
// only in case if there is one, otherwise the list of all known fields.
func (s fieldSet) suggest(name string) string {
	for _, known := range s.names {
		if strings.EqualFold(known, name) {
			return fmt.Sprintf("want %q", known)
		}
	}
	return "known are " + strings.Join(s.names, ", ")
}

// kindName describes the JSON value for a type.
func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return integerName(t.Bits(), true)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return integerName(t.Bits(), false)
	default:
		return "another value"
	}
}

func integerName(bits int, signed bool) string {
	if signed {
		return fmt.Sprintf("a whole number of %d bits", bits)
	}
	return fmt.Sprintf("a whole number from 0, of %d bits", bits)
}
