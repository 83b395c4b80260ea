package arch

import (
	"strings"
	"testing"
)

// maxFileLines bounds the length of a file, tests included.
const maxFileLines = 500

// importRestriction limits the packages that may import a package, except in tests.
type importRestriction struct {
	imported string   // an import path, or a prefix that ends in a slash
	allowed  []string // directories below the root that may import it
	reason   string
}

func restrictions() []importRestriction {
	return []importRestriction{
		{module + "cmd/", nil, "programs are not libraries"},
		{module + "internal/load/", []string{"internal/load", "cmd/galenacart-load"}, "the load tool is not part of a node"},
		{module + "internal/standin/", []string{"internal/standin", "internal/load", "cmd/galenacart-standin", "cmd/galenacart-load"}, "stand-ins are not part of a node"},
		{module + "internal/docpage", nil, "only tests compare pages with the code"},
		{"testing", []string{"internal/docpage"}, "tests belong in test files"},
		{"os/exec", []string{"internal/load", "cmd/galenacart-load"}, "nodes start no other processes"},
		{"net/http/httputil", nil, "nodes have their own proxy implementation"},
		{"github.com/asynkron/protoactor-go/cluster/", nil, "the library's clustering is not used"},
		{"github.com/asynkron/protoactor-go/cluster", nil, "the library's clustering is not used"},
		{"github.com/asynkron/protoactor-go/remote", nil, "nodes use their own protocol"},
		{"math/rand", nil, "use math/rand/v2 instead"},
		{"log", nil, "log numbered events instead"},
	}
}

func (r importRestriction) matches(path string) bool {
	if strings.HasSuffix(r.imported, "/") {
		return strings.HasPrefix(path, r.imported)
	}
	return path == r.imported
}

func (r importRestriction) allows(dir string) bool {
	for _, allowed := range r.allowed {
		if dir == allowed || strings.HasPrefix(dir, allowed+"/") {
			return true
		}
	}
	return false
}

func TestImports(t *testing.T) {
	all := append(parseSources(t, "internal", false), parseSources(t, "cmd", false)...)
	for _, s := range all {
		for _, spec := range s.ast.Imports {
			path := strings.Trim(spec.Path.Value, `"`)
			for _, r := range restrictions() {
				if r.matches(path) && !r.allows(s.dir()) {
					t.Errorf("%s imports %s: %s", s.file, path, r.reason)
				}
			}
		}
	}
}

func TestFilesAreShort(t *testing.T) {
	for _, dir := range []string{"internal", "cmd", "decision"} {
		for _, s := range parseSources(t, dir, true) {
			if s.lines > maxFileLines {
				t.Errorf("%s has %d lines; want at most %d", s.file, s.lines, maxFileLines)
			}
		}
	}
}

// TestPackagesHaveComments checks that each package has a package comment.
func TestPackagesHaveComments(t *testing.T) {
	described := make(map[string]bool)
	for _, dir := range []string{"internal", "cmd", "decision"} {
		for _, s := range parseSources(t, dir, false) {
			described[s.dir()] = described[s.dir()] || s.ast.Doc != nil
		}
	}
	for dir, hasDoc := range described {
		if !hasDoc {
			t.Errorf("the package in %s has no comment", dir)
		}
	}
}
