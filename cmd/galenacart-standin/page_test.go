package main

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/standin/endpoint"
	"github.com/galenacart/galenacart/internal/standin/platform"
	"github.com/galenacart/galenacart/internal/standin/relay"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

func readPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../docs/STANDINS.md")
	require.NoError(t, err)
	return string(text)
}

// fieldPaths lists the JSON paths of the fields of a type, such as "routes[].path". For
// a struct outside a list, only the paths of its fields are listed.
func fieldPaths(prefix string, t reflect.Type) []string {
	var paths []string
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		name = prefix + name
		switch {
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			paths = append(paths, name)
			paths = append(paths, fieldPaths(name+"[].", f.Type.Elem())...)
		case f.Type.Kind() == reflect.Struct:
			paths = append(paths, fieldPaths(name+".", f.Type)...)
		default:
			paths = append(paths, name)
		}
	}
	return paths
}

func TestPageListsAllSettings(t *testing.T) {
	row := regexp.MustCompile("(?m)^\\| `([^`|]+)` \\| [^|]* \\| [^|]* \\| [^|]* \\|$")
	var listed []string
	for _, match := range row.FindAllStringSubmatch(readPage(t), -1) {
		listed = append(listed, match[1])
	}
	want := fieldPaths("", reflect.TypeFor[platform.Settings]())
	want = append(want, fieldPaths("", reflect.TypeFor[endpoint.Settings]())...)
	want = append(want, fieldPaths("", reflect.TypeFor[relay.Settings]())...)
	require.ElementsMatch(t, want, listed)
}

func TestPageNamesAllLogFields(t *testing.T) {
	page := readPage(t)
	for _, field := range fieldPaths("", reflect.TypeFor[truth.Record]()) {
		if field != "kind" {
			require.Contains(t, page, "`"+field+"`")
		}
	}
}

func TestPageExamplesAreValid(t *testing.T) {
	example := regexp.MustCompile("(?s)<!-- example (\\w+) -->\n```json\n(.*?)```")
	matches := example.FindAllStringSubmatch(readPage(t), -1)
	require.Len(t, matches, 4)
	for _, match := range matches {
		var err error
		switch match[1] {
		case "platform":
			_, err = platform.Decode("example", []byte(match[2]))
		case "relay":
			_, err = relay.Decode("example", []byte(match[2]))
		default:
			_, err = endpoint.Decode("example", []byte(match[2]))
		}
		require.NoError(t, err)
	}
}
