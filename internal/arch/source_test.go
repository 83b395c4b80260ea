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

// sourceFile is one parsed Go file.
type sourceFile struct {
	file  string // the path relative to the root
	fset  *token.FileSet
	ast   *ast.File
	lines int
}

// dir returns the directory of the file, relative to the root.
func (s *sourceFile) dir() string {
	return filepath.ToSlash(filepath.Dir(s.file))
}

// imports maps the names of imported packages in the file to their paths.
func (s *sourceFile) imports() map[string]string {
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

// importName derives the package name from the import path, without a version suffix.
func importName(path string) string {
	parts := strings.Split(path, "/")
	last := parts[len(parts)-1]
	if len(parts) > 1 && len(last) > 1 && last[0] == 'v' && strings.Trim(last[1:], "0123456789") == "" {
		return parts[len(parts)-2]
	}
	return last
}

func (s *sourceFile) line(n ast.Node) int {
	return s.fset.Position(n.Pos()).Line
}

// parseText parses text as a Go file.
func parseText(t *testing.T, file, text string) *sourceFile {
	t.Helper()
	fset := token.NewFileSet()
	parsed, err := parser.ParseFile(fset, file, text, parser.SkipObjectResolution|parser.ParseComments)
	require.NoError(t, err)
	return &sourceFile{file: file, fset: fset, ast: parsed, lines: strings.Count(text, "\n")}
}

// parseSources parses every Go file in a directory and its subdirectories. Test files
// are included if tests is set.
func parseSources(t *testing.T, dir string, tests bool) []*sourceFile {
	t.Helper()
	var all []*sourceFile
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
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		all = append(all, parseText(t, relative, string(text)))
		return nil
	})
	require.NoError(t, err)
	require.NotEmpty(t, all, dir)
	return all
}
