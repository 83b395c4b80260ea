package docpage

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// StructTable returns a Markdown table of the JSON fields of a struct in a Go file:
// name, type, bounds from the validate tag, and the doc comment.
func StructTable(t *testing.T, file, name string) string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
	require.NoError(t, err)
	var b strings.Builder
	b.WriteString("| Field | Type | Bounds | Meaning |\n|---|---|---|---|\n")
	for _, field := range findStruct(t, parsed, name).Fields.List {
		tag := reflect.StructTag(strings.Trim(field.Tag.Value, "`"))
		jsonName, _, _ := strings.Cut(tag.Get("json"), ",")
		if jsonName == "-" {
			continue
		}
		kind := jsonTypeName(field.Type)
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", jsonName, kind, describeBounds(tag.Get("validate"), kind), describeMeaning(field.Doc.Text()))
	}
	return b.String()
}

func findStruct(t *testing.T, f *ast.File, name string) *ast.StructType {
	t.Helper()
	var found *ast.StructType
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.TypeSpec)
		if ok && spec.Name.Name == name {
			found, _ = spec.Type.(*ast.StructType)
		}
		return found == nil
	})
	require.NotNil(t, found, "no struct %s", name)
	return found
}

// jsonTypeName describes a Go type by its JSON type.
func jsonTypeName(e ast.Expr) string {
	if list, ok := e.(*ast.ArrayType); ok {
		return "list of " + jsonTypeName(list.Elt)
	}
	name := e.(*ast.Ident).Name
	switch name {
	case "string":
		return "text"
	case "bool":
		return "true or false"
	case "int", "int64":
		return "whole number"
	default:
		return name
	}
}

// describeBounds describes a validate tag. Rules after "dive" apply to each entry.
func describeBounds(tag, kind string) string {
	whole, entries, _ := strings.Cut(tag, ",dive")
	text := describeRules(whole, kind)
	if each := describeRules(strings.TrimPrefix(entries, ","), strings.TrimPrefix(kind, "list of ")); each != "" {
		text += "; each entry " + each
	}
	return strings.TrimPrefix(text, "; ")
}

func describeRules(tag, kind string) string {
	var texts []string
	for _, rule := range strings.Split(tag, ",") {
		name, value, _ := strings.Cut(rule, "=")
		switch name {
		case "required":
			texts = append(texts, "required")
		case "unique":
			texts = append(texts, "each entry once")
		case "min", "gte":
			texts = append(texts, "at least "+value+boundUnit(kind))
		case "max", "lte":
			texts = append(texts, "at most "+value+boundUnit(kind))
		case "startswith":
			texts = append(texts, "starts with `"+value+"`")
		case "oneof":
			texts = append(texts, "one of "+strings.ReplaceAll(value, " ", ", "))
		}
	}
	return strings.Join(texts, ", ")
}

func boundUnit(kind string) string {
	switch {
	case kind == "text":
		return " characters"
	case strings.HasPrefix(kind, "list of "):
		return " entries"
	default:
		return ""
	}
}

var leadingVerb = regexp.MustCompile(`^(is|are) `)

// describeMeaning converts the comment "Name is the unique name." into "The unique name."
func describeMeaning(comment string) string {
	_, text, _ := strings.Cut(strings.Join(strings.Fields(comment), " "), " ")
	text = leadingVerb.ReplaceAllString(text, "")
	if text == "" {
		return ""
	}
	return strings.ToUpper(text[:1]) + text[1:]
}
