package arch

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// platformFolder is the only folder that speaks the platform's protocol.
const platformFolder = "platform"

// platformLinesMax bounds it, without tests: it translates and decides nothing.
const platformLinesMax = 2500

// wireNames finds names of the platform's protocol.
var wireNames = regexp.MustCompile(`X-Attempt-Id|X-Response-Seal|X-Deadline-Remaining|X-Target-Instance|X-Not-Executed|` +
	`X-Caller-Service|/readiness"|/healthcheck|kv-(key|range|watch)|op/config|"servers/|GALENACART_SETTINGS|target_latency|traffic_split|` +
	`non_idempotent|max_attempts|store_revision|warmup_left|node_info|config_version`)

func TestWireNamesStayInTheirFolder(t *testing.T) {
	for _, dir := range []string{"internal", "cmd", "decision", "caller"} {
		for _, s := range sources(t, dir, true) {
			if s.file == "internal/arch/wire_test.go" {
				continue
			}
			text, err := os.ReadFile(filepath.Join(root, s.file))
			require.NoError(t, err)
			require.NotRegexp(t, wireNames, string(text), s.file)
		}
	}
}

func TestPlatformFolderOnlyTranslates(t *testing.T) {
	lines := 0
	for _, s := range sources(t, platformFolder, false) {
		lines += s.lines
		for _, one := range s.ast.Imports {
			path := strings.Trim(one.Path.Value, `"`)
			require.NotContains(t, []string{module + "internal/mesh", module + "internal/meshnode"}, path, s.file)
		}
	}
	require.LessOrEqual(t, lines, platformLinesMax)
}
