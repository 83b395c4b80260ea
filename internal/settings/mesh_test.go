package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const meshText = `{
  "vm": "v1", "availabilityZone": "a", "region": "r", "service": "stock",
  "clientAddress": "10.0.0.1:7000", "peerAddress": "10.0.0.1:7001", "readinessAddress": "10.0.0.1:7002",
  "endpointAddress": "10.0.0.1:7003", "statusAddress": "10.0.0.1:7004", "platformAddress": "10.0.0.9:80",
  "stopTimeout": "6s", "retryRatio": 0.2, "retryAllowance": 49, "retryWindow": "10s"
}`

func TestMeshSettings(t *testing.T) {
	m, err := DecodeMesh("node.json", []byte(meshText))
	require.NoError(t, err)
	require.Equal(t, 6*time.Second, m.StopTimeoutDuration())
	require.Equal(t, 10*time.Second, m.RetryWindowDuration())
}

func TestMeshFaults(t *testing.T) {
	tests := []struct{ desc, old, replacement, want string }{
		{"unknown field", `"vm"`, `"vmm"`, "vmm"},
		{"time without a unit", `"6s"`, `"6"`, "/stopTimeout"},
		{"negative time", `"10s"`, `"-10s"`, "/retryWindow"},
		{"address without a port", `"10.0.0.1:7003"`, `"10.0.0.1"`, "/endpointAddress"},
		{"two settings with one address", `"10.0.0.1:7003"`, `"10.0.0.1:7002"`, "/endpointAddress"},
		{"ratio over 1", `0.2`, `1.2`, "/retryRatio"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			_, err := DecodeMesh("node.json", []byte(strings.Replace(meshText, test.old, test.replacement, 1)))
			require.ErrorContains(t, err, test.want)
		})
	}
}

func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.json")
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(meshText)
	r, err := NewReloadable(file)
	require.NoError(t, err)

	changed, err := r.Reload()
	require.NoError(t, err)
	require.False(t, changed, "the file is unchanged")

	write(strings.Replace(meshText, "0.2", "0.1", 1))
	changed, err = r.Reload()
	require.NoError(t, err)
	require.True(t, changed)
	require.InDelta(t, 0.1, r.Load().RetryRatio, 0)

	for _, bad := range []string{"{", strings.Replace(meshText, ":7000", ":7100", 1)} {
		write(bad)
		_, err = r.Reload()
		require.Error(t, err)
		require.InDelta(t, 0.1, r.Load().RetryRatio, 0, "the previous settings stay")
	}
}
