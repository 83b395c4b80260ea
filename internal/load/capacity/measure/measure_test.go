package measure

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/load/layout"
)

func TestSizeDocumentsAreValid(t *testing.T) {
	size := Size{Nodes: 25, Zones: 3, Services: 190, Listed: 5000}
	dir := t.TempDir()
	require.NoError(t, layout.Write(dir, plan, size.catalogue(1), size.deployment()))
	c, err := catalogue.ReadFile(dir + "/platform/catalogue.json")
	require.NoError(t, err)
	require.Len(t, c.Services, 190)
	require.Equal(t, timeoutMs+1, c.Routes[0].Limits.TimeoutMs)
	names, addresses := map[string]bool{}, map[string]bool{}
	for _, vm := range size.listed() {
		names[vm.Name], addresses[vm.PeerAddress] = true, true
		require.True(t, strings.HasPrefix(vm.PeerAddress, "127.33.1"), vm.PeerAddress)
		require.NotContains(t, []string{zoneName(0), zoneName(1), zoneName(2)}, vm.AvailabilityZone)
	}
	require.Len(t, names, 5000)
	require.Len(t, addresses, 5000)
	require.False(t, names["vm-24"], "a VM that runs")
}

func TestParseMetrics(t *testing.T) {
	got, err := parseMetrics(strings.NewReader("# HELP a b\n# TYPE a gauge\na 1.5\nb{c=\"d e\"} 2\nf 3e6\n"))
	require.NoError(t, err)
	require.Equal(t, map[string]float64{"a": 1.5, "f": 3e6}, got)
	_, err = parseMetrics(strings.NewReader("a x\n"))
	require.ErrorContains(t, err, "metric a")
}

func TestParseProcessFiles(t *testing.T) {
	cpu, err := parseCPU("42 (a name) with) ) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0\n")
	require.NoError(t, err)
	require.Equal(t, 2*time.Second, cpu)
	_, err = parseCPU("42 (name) S 1")
	require.Error(t, err)
	memory, err := parseMemory("Name:\tx\nVmHWM:\t 900 kB\nVmRSS:\t  30720 kB\n")
	require.NoError(t, err)
	require.Equal(t, int64(30<<20), memory)
	_, err = parseMemory("Name:\tx\n")
	require.Error(t, err)
}
