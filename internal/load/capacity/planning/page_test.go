package planning

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/docpage"
	"github.com/galenacart/galenacart/internal/strictjson"
)

// TestPageMatchesMeasurement checks that the tables of the page match the stored
// measurement and the values derived from it.
func TestPageMatchesMeasurement(t *testing.T) {
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
	docpage.Section(t, page, "derived", codeBlock("DERIVED"+derived))
	docpage.Section(t, page, "measured", codeBlock(measured))
}

// codeBlock returns text as a Markdown code block, without trailing spaces.
func codeBlock(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	for i, line := range lines {
		lines[i] = strings.TrimRight(line, " ")
	}
	return "```\n" + strings.Join(lines, "\n") + "\n```\n"
}
