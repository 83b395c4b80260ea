package arch

import (
	"fmt"
	"go/ast"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Code that tests run in a bubble of testing/synctest must not receive from the
// channel of a timer. A goroutine that receives from such a channel after its timer
// expired runs the timer itself, while the bubble runs other timers. Both use the
// bubble's single race detector context, and the race detector then aborts the process
// (CHECK failed: slot_locked; Go 1.26). Contexts with a timeout, time.Sleep and
// time.AfterFunc use no such channel.

// timerChannels lists the functions of package time that return a timer's channel.
var timerChannels = []string{"After", "NewTicker", "NewTimer", "Tick"}

// bubblePackages returns the directories of the packages whose tests use
// testing/synctest and of the packages of this module that they import.
func bubblePackages(files []*sourceFile) map[string]bool {
	imported := make(map[string][]string)
	found := make(map[string]bool)
	var add func(dir string)
	add = func(dir string) {
		if found[dir] {
			return
		}
		found[dir] = true
		for _, dependency := range imported[dir] {
			add(dependency)
		}
	}
	var roots []string
	for _, s := range files {
		for _, path := range s.imports() {
			if path == "testing/synctest" {
				roots = append(roots, s.dir())
			}
			if relative, ok := strings.CutPrefix(path, module); ok {
				imported[s.dir()] = append(imported[s.dir()], relative)
			}
		}
	}
	for _, dir := range roots {
		add(dir)
	}
	return found
}

// timerChannelUses returns one line for each use of a timer's channel in a file.
func timerChannelUses(s *sourceFile) []string {
	var found []string
	imports := s.imports()
	ast.Inspect(s.ast, func(n ast.Node) bool {
		selector, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		name, ok := selector.X.(*ast.Ident)
		if !ok || imports[name.Name] != "time" {
			return true
		}
		for _, function := range timerChannels {
			if selector.Sel.Name == function {
				found = append(found, fmt.Sprintf("%s:%d: time.%s", s.file, s.line(n), function))
			}
		}
		return true
	})
	return found
}

func TestNoTimerChannelsInBubbles(t *testing.T) {
	files := parseSources(t, ".", true)
	inBubbles := bubblePackages(files)
	require.True(t, inBubbles["internal/control"])
	require.True(t, inBubbles["internal/peer"], "imported by internal/control")
	var found []string
	for _, s := range files {
		if inBubbles[s.dir()] {
			found = append(found, timerChannelUses(s)...)
		}
	}
	require.Empty(t, found)
}

func TestTimerChannelUsesAreFound(t *testing.T) {
	used := parseText(t, "a.go", "package a\nimport \"time\"\nfunc f() { <-time.After(1); t := time.NewTimer(2); t.Stop() }\n")
	require.Equal(t, []string{"a.go:3: time.After", "a.go:3: time.NewTimer"}, timerChannelUses(used))
	other := parseText(t, "a.go", "package a\nimport \"time\"\nfunc f() { time.Sleep(1); time.AfterFunc(1, f) }\n")
	require.Empty(t, timerChannelUses(other))
}
