package arch

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	root   = "../.."
	module = "github.com/galenacart/galenacart/"
)

// source is one parsed file outside the tests.
type source struct {
	file  string // the path below the root
	fset  *token.FileSet
	ast   *ast.File
	lines int
}

// dir returns the directory of the file, below the root.
func (s *source) dir() string {
	return filepath.ToSlash(filepath.Dir(s.file))
}

// imports returns the path of each import by the name that the file uses.
func (s *source) imports() map[string]string {
	byName := make(map[string]string)
	for _, one := range s.ast.Imports {
		path := strings.Trim(one.Path.Value, `"`)
		name := importName(path)
		if one.Name != nil {
			name = one.Name.Name
		}
		byName[name] = path
	}
	return byName
}

// importName guesses the package's name from its path.
func importName(path string) string {
	parts := strings.Split(path, "/")
	last := parts[len(parts)-1]
	if len(parts) > 1 && len(last) > 1 && last[0] == 'v' && strings.Trim(last[1:], "0123456789") == "" {
		return parts[len(parts)-2]
	}
	return last
}

func (s *source) line(n ast.Node) int {
	return s.fset.Position(n.Pos()).Line
}

// parseText parses one file given as text.
func parseText(t *testing.T, file, text string) *source {
	t.Helper()
	fset := token.NewFileSet()
	parsed, err := parser.ParseFile(fset, file, text, parser.SkipObjectResolution|parser.ParseComments)
	require.NoError(t, err)
	return &source{file: file, fset: fset, ast: parsed, lines: strings.Count(text, "\n")}
}

// sources parses every file of a directory and those below it. Files of tests
// are left out unless they are asked for.
func sources(t *testing.T, dir string, tests bool) []*source {
	t.Helper()
	var all []*source
	err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		isTest := strings.HasSuffix(path, "_test.go")
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || (isTest && !tests) {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		below, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		all = append(all, parseText(t, below, string(text)))
		return nil
	})
	require.NoError(t, err)
	require.NotEmpty(t, all, dir)
	return all
}
