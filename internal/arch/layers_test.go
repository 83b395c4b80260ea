package arch

import (
	"strings"
	"testing"
)

// maxFileLines bounds a file, tests included.
const maxFileLines = 500

// restriction bounds where a package may be imported, outside tests.
type restriction struct {
	imported string   // an import path, or all below it when it ends in a slash
	allowed  []string // directories below the root in which it may stand
	why      string
}

func restrictions() []restriction {
	return []restriction{
		{module + "cmd/", nil, "programs are no libraries"},
		{module + "internal/load/", []string{"internal/load", "cmd/galenacart-load"}, "the load tool is no part of a node"},
		{module + "internal/standin/", []string{"internal/standin", "internal/load", "cmd/galenacart-standin", "cmd/galenacart-load"}, "stand-ins are no part of a node"},
		{module + "internal/docpage", nil, "only tests hold pages to the code"},
		{"testing", []string{"internal/docpage"}, "tests live in test files"},
		{"os/exec", []string{"internal/load", "cmd/galenacart-load"}, "a process of the system starts no other"},
		{"net/http/httputil", nil, "the system brings its own handling of calls"},
		{"github.com/asynkron/protoactor-go/cluster/", nil, "clustering of libraries stays unused"},
		{"github.com/asynkron/protoactor-go/cluster", nil, "clustering of libraries stays unused"},
		{"github.com/asynkron/protoactor-go/remote", nil, "nodes speak their own protocol"},
		{"math/rand", nil, "math/rand/v2 takes its place"},
		{"log", nil, "logs are numbered events"},
	}
}

func (r restriction) matches(path string) bool {
	if strings.HasSuffix(r.imported, "/") {
		return strings.HasPrefix(path, r.imported)
	}
	return path == r.imported
}

func (r restriction) allows(dir string) bool {
	for _, allowed := range r.allowed {
		if dir == allowed || strings.HasPrefix(dir, allowed+"/") {
			return true
		}
	}
	return false
}

func TestImports(t *testing.T) {
	all := append(sources(t, "internal", false), sources(t, "cmd", false)...)
	for _, s := range all {
		for _, one := range s.ast.Imports {
			path := strings.Trim(one.Path.Value, `"`)
			for _, r := range restrictions() {
				if r.matches(path) && !r.allows(s.dir()) {
					t.Errorf("%s imports %s: %s", s.file, path, r.why)
				}
			}
		}
	}
}

func TestFilesAreShort(t *testing.T) {
	for _, dir := range []string{"internal", "cmd", "decision"} {
		for _, s := range sources(t, dir, true) {
			if s.lines > maxFileLines {
				t.Errorf("%s has %d lines; want at most %d", s.file, s.lines, maxFileLines)
			}
		}
	}
}

// TestPackagesHaveComments holds that each package says what it is for.
func TestPackagesHaveComments(t *testing.T) {
	described := make(map[string]bool)
	for _, dir := range []string{"internal", "cmd", "decision"} {
		for _, s := range sources(t, dir, false) {
			described[s.dir()] = described[s.dir()] || s.ast.Doc != nil
		}
	}
	for dir, has := range described {
		if !has {
			t.Errorf("the package in %s has no comment", dir)
		}
	}
}
