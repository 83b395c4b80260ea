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

// historyPages may refer to names that no longer exist.
var historyPages = map[string]bool{"CHANGELOG.md": true}

// numberPlaceholder replaces the number of a design note in paths.
const numberPlaceholder = "NNNN"

var (
	testNamePattern = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	pathPattern     = regexp.MustCompile(`\b(?:caller|cmd|decision|demo|deploy|docs|examples|internal|platform)/[\w/.-]*\w`)
	codeNamePattern = regexp.MustCompile("`([A-Za-z]\\w*(?:\\.[A-Za-z]\\w*)*)`")
	wordPattern     = regexp.MustCompile(`\w+`)
)

// TestPagesReferToExistingNames checks that every test, path and identifier that a page
// of the documentation mentions exists in the repository.
func TestPagesReferToExistingNames(t *testing.T) {
	tests, words := collectNames(t)
	for page, text := range readPages(t) {
		for _, name := range testNamePattern.FindAllString(text, -1) {
			if !tests[name] {
				t.Errorf("%s names the test %s, which does not exist", page, name)
			}
		}
		for _, name := range pathPattern.FindAllString(text, -1) {
			if _, err := os.Stat(filepath.Join(root, name)); err != nil && !strings.Contains(name, numberPlaceholder) {
				t.Errorf("%s names the path %s, which does not exist", page, name)
			}
		}
		for _, match := range codeNamePattern.FindAllStringSubmatch(text, -1) {
			for part := range strings.SplitSeq(match[1], ".") {
				if isMixedCase(part) && !words[part] {
					t.Errorf("%s names `%s`; the code has no %s", page, match[1], part)
				}
			}
		}
	}
}

// isMixedCase reports whether a name has mixed case, unlike ordinary words.
func isMixedCase(name string) bool {
	return strings.ToLower(name[1:]) != name[1:] && strings.ToUpper(name) != name
}

// collectNames returns the names of all tests and all words in the Go code.
func collectNames(t *testing.T) (tests, words map[string]bool) {
	t.Helper()
	tests, words = make(map[string]bool), make(map[string]bool)
	for _, dir := range []string{"caller", "cmd", "decision", "internal", "platform"} {
		for _, s := range parseSources(t, dir, true) {
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
					for _, one := range wordPattern.FindAllString(x.Value, -1) {
						words[one] = true
					}
				}
				return true
			})
		}
	}
	return tests, words
}

// readPages returns the text of the documentation pages by path, relative to the root.
func readPages(t *testing.T) map[string]string {
	t.Helper()
	found := make(map[string]string)
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if relative == ".git" || relative == "journal" || relative == "out" || relative == "target" || relative == "bin" {
				return fs.SkipDir
			}
			return nil
		}
		if historyPages[relative] || (filepath.Ext(relative) != ".md" && relative != "KNOWN-RED.txt") {
			return nil
		}
		text, err := os.ReadFile(path)
		found[relative] = string(text)
		return err
	})
	require.NoError(t, err)
	require.NotEmpty(t, found)
	return found
}
