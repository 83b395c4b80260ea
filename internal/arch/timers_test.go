package arch

import (
	"fmt"
	"go/ast"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Code that tests run in a bubble of testing/synctest must not receive from the
// channel of a timer. A goroutine that finds such a channel due runs the timer
// itself, while the bubble runs others; both use the bubble's one context of the
// race detector, which then ends the process (CHECK failed: slot_locked; Go
// 1.26). Contexts with a timeout, time.Sleep and time.AfterFunc have no such
// channel.

// timerChannels are the functions of package time whose results carry a channel.
var timerChannels = []string{"After", "NewTicker", "NewTimer", "Tick"}

// bubblePackages returns the directories of the packages whose tests use
// testing/synctest and of the packages of this module that they import.
func bubblePackages(files []*source) map[string]bool {
	imported := make(map[string][]string)
	found := make(map[string]bool)
	var add func(dir string)
	add = func(dir string) {
		if found[dir] {
			return
		}
		found[dir] = true
		for _, one := range imported[dir] {
			add(one)
		}
	}
	var first []string
	for _, s := range files {
		for _, path := range s.imports() {
			if path == "testing/synctest" {
				first = append(first, s.dir())
			}
			if below, ok := strings.CutPrefix(path, module); ok {
				imported[s.dir()] = append(imported[s.dir()], below)
			}
		}
	}
	for _, dir := range first {
		add(dir)
	}
	return found
}

// timerChannelUses returns one line for each use of a timer's channel in a file.
func timerChannelUses(s *source) []string {
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
		for _, one := range timerChannels {
			if selector.Sel.Name == one {
				found = append(found, fmt.Sprintf("%s:%d: time.%s", s.file, s.line(n), one))
			}
		}
		return true
	})
	return found
}

func TestNoTimerChannelsInBubbles(t *testing.T) {
	files := sources(t, ".", true)
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

func TestTimerChannelsAreSeen(t *testing.T) {
	used := parseText(t, "a.go", "package a\nimport \"time\"\nfunc f() { <-time.After(1); t := time.NewTimer(2); t.Stop() }\n")
	require.Equal(t, []string{"a.go:3: time.After", "a.go:3: time.NewTimer"}, timerChannelUses(used))
	other := parseText(t, "a.go", "package a\nimport \"time\"\nfunc f() { time.Sleep(1); time.AfterFunc(1, f) }\n")
	require.Empty(t, timerChannelUses(other))
}
