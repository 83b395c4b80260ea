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

// structValidator returns the shared validator, which caches the tags of struct types.
var structValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
})

// Validate returns a fault for each field that violates its `validate` tag. document
// is a struct or a pointer to one.
func Validate(document any) []Fault {
	err := structValidator().Struct(document)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return nil
	}
	faults := make([]Fault, 0, len(violations))
	for _, violation := range violations {
		faults = append(faults, Fault{Pointer: pointerOf(violation.Namespace()), Reason: formatReason(violation)})
	}
	return faults
}

// indexPattern matches an index in the namespace of a field.
var indexPattern = regexp.MustCompile(`\[(\d+)\]`)

// pointerOf converts "Type.routes[3].name" to "/routes/3/name".
func pointerOf(namespace string) string {
	_, path, _ := strings.Cut(namespace, ".")
	path = indexPattern.ReplaceAllString(path, ".$1")
	return "/" + strings.ReplaceAll(path, ".", "/")
}

// formatReason describes the value and the expected one.
func formatReason(e validator.FieldError) string {
	want := expectation(e)
	if e.Value() == nil || reflect.ValueOf(e.Value()).IsZero() {
		return "the value is missing or zero; want " + want
	}
	unit := unitOf(e.Kind())
	switch e.Kind() {
	case reflect.Slice:
		return fmt.Sprintf("have %d%s; want %s", reflect.ValueOf(e.Value()).Len(), unit, want)
	case reflect.String:
		return describeText(e) + "; want " + want
	default:
		return fmt.Sprintf("have %v; want %s", e.Value(), want)
	}
}

// describeText describes a text. It omits a text of the wrong length, which may be long or
// a secret.
func describeText(e validator.FieldError) string {
	text := reflect.ValueOf(e.Value()).String() // also for a named string type
	if e.Tag() == "min" || e.Tag() == "max" {
		return fmt.Sprintf("have %d%s", utf8.RuneCountInString(text), unitOf(e.Kind()))
	}
	return fmt.Sprintf("have %q", truncate(text))
}

// expectation describes the value that the violated rule expects.
func expectation(e validator.FieldError) string {
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
