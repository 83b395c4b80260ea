package capacity

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/platform"
)

func TestSizeDocumentsAreValid(t *testing.T) {
	size := Size{Nodes: 50, Zones: 3, Listed: 5000, Services: 190}
	data, err := size.catalogue(1)
	require.NoError(t, err)
	require.Less(t, len(data), platform.MaxValueBytes)
	c, err := catalogue.Decode("catalogue", data)
	require.NoError(t, err)
	require.Len(t, c.Routes, 570)
	names, addresses := map[string]bool{}, map[string]bool{}
	for _, vm := range size.vms() {
		names[vm.Name] = true
		addresses[vm.PeerAddress] = true
		require.True(t, strings.HasPrefix(vm.PeerAddress, "127."))
	}
	require.Len(t, names, 5050)
	require.Len(t, addresses, 50+7*200, "VMs without a process share addresses")
}
