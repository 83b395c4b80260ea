package strictjson

import (
	"fmt"
	"reflect"
	"regexp"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// rules returns the one validator, which caches what it learns of types.
var rules = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
})

// Validate returns a fault for each field of the struct behind document that
// breaks its `validate` tag.
func Validate(document any) []Fault {
	err := rules().Struct(document)
	var broken validator.ValidationErrors
	if !errors.As(err, &broken) {
		return nil
	}
	faults := make([]Fault, 0, len(broken))
	for _, one := range broken {
		faults = append(faults, Fault{Pointer: pointerOf(one.Namespace()), Reason: reasonOf(one)})
	}
	return faults
}

var indexes = regexp.MustCompile(`\[(\d+)\]`)

// pointerOf turns "Type.routes[3].name" into "/routes/3/name".
func pointerOf(namespace string) string {
	_, path, _ := strings.Cut(namespace, ".")
	path = indexes.ReplaceAllString(path, ".$1")
	return "/" + strings.ReplaceAll(path, ".", "/")
}

// reasonOf says what stands there and what would be right.
func reasonOf(e validator.FieldError) string {
	want := wantOf(e)
	if e.Value() == nil || reflect.ValueOf(e.Value()).IsZero() {
		return "the value is missing or zero; want " + want
	}
	unit := unitOf(e.Kind())
	switch e.Kind() {
	case reflect.Slice:
		return fmt.Sprintf("have %d%s; want %s", reflect.ValueOf(e.Value()).Len(), unit, want)
	case reflect.String:
		return haveText(e) + "; want " + want
	default:
		return fmt.Sprintf("have %v; want %s", e.Value(), want)
	}
}

// haveText describes a text. One of a wrong length isn't repeated: it may be
// long, or a secret.
func haveText(e validator.FieldError) string {
	text := reflect.ValueOf(e.Value()).String() // also of a named type
	if e.Tag() == "min" || e.Tag() == "max" {
		return fmt.Sprintf("have %d%s", utf8.RuneCountInString(text), unitOf(e.Kind()))
	}
	return fmt.Sprintf("have %q", shorten(text))
}

func wantOf(e validator.FieldError) string {
	switch e.Tag() {
	case "required":
		return "one"
	case "min", "gte":
		return "at least " + e.Param() + unitOf(e.Kind())
	case "max", "lte":
		return "at most " + e.Param() + unitOf(e.Kind())
	case "oneof":
		return "one of " + strings.ReplaceAll(e.Param(), " ", ", ")
	case "startswith":
		return "a text that starts with " + e.Param()
	case "unique":
		return "each entry once"
	default:
		return e.Tag() + " " + e.Param()
	}
}

func unitOf(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return " characters"
	case reflect.Slice:
		return " entries"
	default:
		return ""
	}
}
