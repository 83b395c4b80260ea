package arch

import (
	"fmt"
	"go/ast"
	"go/token"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The purity rules for packages below decision/, except their tests:
//
//  1. They import only packages below decision/ and those in pureImports.
//  2. They use none of the names in impureNames, which read a clock, wait, print or
//     use the global random source.
//  3. They have no go statement, no select, no channel and no init function.
//  4. Their package-level variables are error values created by errors.New, tables
//     (composite literals that are never modified or addressed) or blank.

// pureImports lists packages without clock, input, output or shared state. time and
// the random package are included for their types; rule 2 restricts their use.
var pureImports = []string{
	"cmp", "container/heap", "encoding/binary", "errors", "fmt", "hash/fnv", "iter", "maps", "math", "math/bits",
	"math/rand/v2", "slices", "sort", "strconv", "strings", "time", "unicode/utf8",
	"github.com/cespare/xxhash/v2", "github.com/pkg/errors",
}

// impureNames lists the names that decision packages may not use, by import path.
var impureNames = map[string][]string{
	"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker", "Timer", "Ticker", "Local", "LoadLocation"},
	"math/rand/v2": {
		"Int", "IntN", "Int32", "Int32N", "Int64", "Int64N", "Uint", "UintN", "Uint32", "Uint32N", "Uint64", "Uint64N",
		"N", "Float32", "Float64", "ExpFloat64", "NormFloat64", "Perm", "Shuffle",
	},
	"fmt": {"Print", "Printf", "Println", "Scan", "Scanf", "Scanln"},
}

// findViolations returns one line for each violation of the rules in the files of one
// package.
func findViolations(files []*sourceFile) []string {
	var found []string
	tables := make(map[string]bool)
	for _, s := range files {
		found = append(found, checkImports(s)...)
		found = append(found, checkDeclarations(s, tables)...)
	}
	for _, s := range files {
		found = append(found, checkStatements(s, tables)...)
	}
	return found
}

func formatViolation(s *sourceFile, n ast.Node, format string, args ...any) string {
	return fmt.Sprintf("%s:%d: ", s.file, s.line(n)) + fmt.Sprintf(format, args...)
}

func checkImports(s *sourceFile) []string {
	var found []string
	for _, spec := range s.ast.Imports {
		path := strings.Trim(spec.Path.Value, `"`)
		if !slices.Contains(pureImports, path) && !strings.HasPrefix(path, module+"decision/") {
			found = append(found, formatViolation(s, spec, "imports %s", path))
		}
		if spec.Name != nil && spec.Name.Name == "." {
			found = append(found, formatViolation(s, spec, "imports %s without a name", path))
		}
	}
	return found
}

// checkDeclarations checks package-level declarations and collects the names of
// tables.
func checkDeclarations(s *sourceFile, tables map[string]bool) []string {
	var found []string
	for _, decl := range s.ast.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			if d.Recv == nil && d.Name.Name == "init" {
				found = append(found, formatViolation(s, d, "has an init function"))
			}
		case *ast.GenDecl:
			if d.Tok != token.VAR {
				continue
			}
			for _, spec := range d.Specs {
				found = append(found, checkVariable(s, spec.(*ast.ValueSpec), tables)...)
			}
		}
	}
	return found
}

func checkVariable(s *sourceFile, v *ast.ValueSpec, tables map[string]bool) []string {
	var found []string
	for i, name := range v.Names {
		switch {
		case name.Name == "_":
		case i < len(v.Values) && isErrorValue(s, v.Values[i]):
			tables[name.Name] = true
		case i < len(v.Values) && isTable(v.Values[i]):
			tables[name.Name] = true
		default:
			found = append(found, formatViolation(s, v, "has the variable %s", name.Name))
		}
	}
	return found
}

func isErrorValue(s *sourceFile, e ast.Expr) bool {
	call, ok := e.(*ast.CallExpr)
	if !ok {
		return false
	}
	path, name := qualifiedName(s, call.Fun)
	return name == "New" && (path == "errors" || path == "github.com/pkg/errors")
}

func isTable(e ast.Expr) bool {
	literal, ok := e.(*ast.CompositeLit)
	if !ok {
		return false
	}
	switch literal.Type.(type) {
	case *ast.ArrayType, *ast.MapType:
		return true
	default:
		return false
	}
}

// qualifiedName returns the import path and the name of a qualified identifier.
func qualifiedName(s *sourceFile, e ast.Expr) (path, name string) {
	selector, ok := e.(*ast.SelectorExpr)
	if !ok {
		return "", ""
	}
	qualifier, ok := selector.X.(*ast.Ident)
	if !ok {
		return "", ""
	}
	return s.imports()[qualifier.Name], selector.Sel.Name
}

func checkStatements(s *sourceFile, tables map[string]bool) []string {
	var found []string
	ast.Inspect(s.ast, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			found = append(found, formatViolation(s, n, "starts a goroutine"))
		case *ast.SelectStmt:
			found = append(found, formatViolation(s, n, "has a select"))
		case *ast.ChanType:
			found = append(found, formatViolation(s, n, "has a channel"))
		case *ast.SelectorExpr:
			if path, name := qualifiedName(s, n); slices.Contains(impureNames[path], name) {
				found = append(found, formatViolation(s, n, "uses %s.%s", path, name))
			}
		case *ast.AssignStmt:
			if n.Tok != token.DEFINE {
				found = append(found, checkModified(s, n.Lhs, tables)...)
			}
		case *ast.IncDecStmt:
			found = append(found, checkModified(s, []ast.Expr{n.X}, tables)...)
		case *ast.UnaryExpr:
			if n.Op == token.AND {
				found = append(found, checkModified(s, []ast.Expr{n.X}, tables)...)
			}
		}
		return true
	})
	return found
}

// checkModified reports expressions that refer to a table. It compares names only, so
// local variables must not have the name of a table.
func checkModified(s *sourceFile, targets []ast.Expr, tables map[string]bool) []string {
	var found []string
	for _, target := range targets {
		if name := rootName(target); tables[name] {
			found = append(found, formatViolation(s, target, "changes or takes the address of %s", name))
		}
	}
	return found
}

func rootName(e ast.Expr) string {
	for {
		switch x := e.(type) {
		case *ast.Ident:
			return x.Name
		case *ast.IndexExpr:
			e = x.X
		case *ast.SelectorExpr:
			e = x.X
		case *ast.ParenExpr:
			e = x.X
		case *ast.StarExpr:
			e = x.X
		default:
			return ""
		}
	}
}

func TestDecisionsArePure(t *testing.T) {
	packages := make(map[string][]*sourceFile)
	for _, s := range parseSources(t, "decision", false) {
		packages[s.dir()] = append(packages[s.dir()], s)
	}
	for _, files := range packages {
		for _, violation := range findViolations(files) {
			t.Error(violation)
		}
	}
}

func TestPurityViolationsAreFound(t *testing.T) {
	tests := []struct{ desc, text, want string }{
		{"imports internal", `import "` + module + `internal/call"`, "imports"},
		{"imports net", `import "net/http"`, "imports net/http"},
		{"imports os", `import "os"`, "imports os"},
		{"imports the old random package", `import "math/rand"`, "imports math/rand"},
		{"imports sync", `import "sync"`, "imports sync"},
		{"imports without a name", `import . "time"`, "without a name"},
		{"reads the clock", `import "time"; func f() { _ = time.Now() }`, "uses time.Now"},
		{"passes the clock function on", `import "time"; var _ = time.Now`, "uses time.Now"},
		{"reads the clock under another name", `import clock "time"; func f() { clock.Sleep(1) }`, "uses time.Sleep"},
		{"measures time", `import "time"; func f(at time.Time) { _ = time.Since(at) }`, "uses time.Since"},
		{"waits", `import "time"; func f() { <-time.After(1) }`, "uses time.After"},
		{"uses the global random source", `import "math/rand/v2"; func f() { _ = rand.IntN(2) }`, "uses math/rand/v2.IntN"},
		{"prints", `import "fmt"; func f() { fmt.Println() }`, "uses fmt.Println"},
		{"starts a goroutine", `func f() { go f() }`, "starts a goroutine"},
		{"selects", `func f() { select {} }`, "has a select"},
		{"has a channel", `type t struct { c chan int }`, "has a channel"},
		{"initialises", `func init() {}`, "has an init function"},
		{"has state", `var count int`, "has the variable count"},
		{"has state in a pointer", `type t struct{}; var state = &t{}`, "has the variable state"},
		{"changes a table", `var table = map[string]int{}; func f() { table["a"] = 1 }`, "changes or takes the address of table"},
		{"counts in a table", `var table = [2]int{}; func f() { table[0]++ }`, "changes or takes the address of table"},
		{"returns the address of a table", `var table = [2]int{}; func f() *[2]int { return &table }`, "changes or takes the address of table"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			found := findViolations([]*sourceFile{parseText(t, "x.go", "package x\n"+tt.text+"\n")})
			require.NotEmpty(t, found)
			require.Contains(t, strings.Join(found, "\n"), tt.want)
		})
	}
	pure := `import ("errors"; "math/rand/v2"; "time")
var errFull = errors.New("full")
var weights = [2]int{1, 2}
var _ error = errFull
func f(now time.Duration, r *rand.Rand) int { x := 1; x++; return r.IntN(weights[0]) + x }`
	require.Empty(t, findViolations([]*sourceFile{parseText(t, "x.go", "package x\n"+pure+"\n")}))
}
