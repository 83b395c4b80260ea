package arch

import (
	"go/ast"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// historyPages may name what no longer exists.
var historyPages = map[string]bool{"CHANGELOG.md": true}

// placeholder stands in paths for the number of a design note.
const placeholder = "NNNN"

var (
	testName = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	pathName = regexp.MustCompile(`\b(?:caller|cmd|decision|demo|deploy|docs|examples|internal|platform)/[\w/.-]*\w`)
	codeName = regexp.MustCompile("`([A-Za-z]\\w*(?:\\.[A-Za-z]\\w*)*)`")
	word     = regexp.MustCompile(`\w+`)
)

// TestPagesNameWhatExists holds that every test, file, package and identifier that a
// page of the documentation names is in the repository.
func TestPagesNameWhatExists(t *testing.T) {
	tests, words := namesInCode(t)
	for page, text := range pages(t) {
		for _, name := range testName.FindAllString(text, -1) {
			if !tests[name] {
				t.Errorf("%s names the test %s, which does not exist", page, name)
			}
		}
		for _, name := range pathName.FindAllString(text, -1) {
			if _, err := os.Stat(filepath.Join(root, name)); err != nil && !strings.Contains(name, placeholder) {
				t.Errorf("%s names the path %s, which does not exist", page, name)
			}
		}
		for _, match := range codeName.FindAllStringSubmatch(text, -1) {
			for part := range strings.SplitSeq(match[1], ".") {
				if isMixedCase(part) && !words[part] {
					t.Errorf("%s names `%s`; the code has no %s", page, match[1], part)
				}
			}
		}
	}
}

// isMixedCase tells identifiers from ordinary words.
func isMixedCase(name string) bool {
	return strings.ToLower(name[1:]) != name[1:] && strings.ToUpper(name) != name
}

// namesInCode returns the names of all tests and all words of the Go code.
func namesInCode(t *testing.T) (tests, words map[string]bool) {
	t.Helper()
	tests, words = make(map[string]bool), make(map[string]bool)
	for _, dir := range []string{"caller", "cmd", "decision", "internal", "platform"} {
		for _, s := range sources(t, dir, true) {
			for _, one := range s.ast.Decls {
				if f, ok := one.(*ast.FuncDecl); ok && f.Recv == nil && strings.HasSuffix(s.file, "_test.go") {
					tests[f.Name.Name] = true
				}
			}
			ast.Inspect(s.ast, func(n ast.Node) bool {
				switch x := n.(type) {
				case *ast.Ident:
					words[x.Name] = true
				case *ast.BasicLit:
					for _, one := range word.FindAllString(x.Value, -1) {
						words[one] = true
					}
				}
				return true
			})
		}
	}
	return tests, words
}

// pages returns the text of each page of the documentation by its path below the root.
func pages(t *testing.T) map[string]string {
	t.Helper()
	found := make(map[string]string)
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		below, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if below == ".git" || below == "journal" || below == "out" || below == "target" || below == "bin" {
				return fs.SkipDir
			}
			return nil
		}
		if historyPages[below] || (filepath.Ext(below) != ".md" && below != "KNOWN-RED.txt") {
			return nil
		}
		text, err := os.ReadFile(path)
		found[below] = string(text)
		return err
	})
	require.NoError(t, err)
	require.NotEmpty(t, found)
	return found
}
