// Package docpage holds a committed page to what the code prints.
package docpage

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// UpdateVariable names the environment variable that makes tests write the
// pages instead of comparing them.
const UpdateVariable = "GALENACART_UPDATE_DOCS"

// Equal fails the test unless the file holds exactly want.
func Equal(t *testing.T, file, want string) {
	t.Helper()
	if os.Getenv(UpdateVariable) != "" {
		require.NoError(t, os.WriteFile(file, []byte(want), 0o644))
		return
	}
	have, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, want, string(have), "%s differs from the code; run: %s=1 go test -p 1 ./...", file, UpdateVariable)
}

// Section fails the test unless the part of the file between the lines
// "<!-- begin name -->" and "<!-- end name -->" is exactly want.
func Section(t *testing.T, file, name, want string) {
	t.Helper()
	begin := "<!-- begin " + name + " -->\n"
	end := "<!-- end " + name + " -->\n"
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	before, rest, found := strings.Cut(string(data), begin)
	require.True(t, found, "%s has no line %q", file, begin)
	_, after, found := strings.Cut(rest, end)
	require.True(t, found, "%s has no line %q", file, end)
	Equal(t, file, before+begin+want+end+after)
}
