package planning

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/docpage"
	"github.com/galenacart/galenacart/internal/strictjson"
)

// TestPageShowsWhatFollows holds the tables of the page to the measurement that
// is kept and to the arithmetic.
func TestPageShowsWhatFollows(t *testing.T) {
	const file = "testdata/measured.json"
	data, err := strictjson.ReadFile(file, 1<<20)
	require.NoError(t, err)
	m := &Measurement{}
	require.NoError(t, strictjson.Decode(file, data, m))
	r, err := Derive(m, PlannedTarget(), UserLimits())
	require.NoError(t, err)
	var text bytes.Buffer
	require.NoError(t, r.WriteText(&text))
	measured, derived, found := strings.Cut(text.String(), "DERIVED")
	require.True(t, found)
	const page = "../../../../docs/CAPACITY.md"
	docpage.Section(t, page, "derived", block("DERIVED"+derived))
	docpage.Section(t, page, "measured", block(measured))
}

// block puts text into a block of code, without space at the ends of lines.
func block(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	for i, line := range lines {
		lines[i] = strings.TrimRight(line, " ")
	}
	return "```\n" + strings.Join(lines, "\n") + "\n```\n"
}
