package layout

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/load/deployment"
	"github.com/galenacart/galenacart/internal/load/runner"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/standin/endpoint"
	"github.com/galenacart/galenacart/internal/standin/platform"
	"github.com/galenacart/galenacart/internal/standin/relay"
	"github.com/galenacart/galenacart/internal/vmlist"
)

func readExample(t *testing.T, name string) (*catalogue.Catalogue, *deployment.Deployment) {
	t.Helper()
	c, err := catalogue.ReadFile("../../../examples/" + name + "/catalogue.json")
	require.NoError(t, err)
	d, err := deployment.ReadFile("../../../examples/" + name + "/deployment.json")
	require.NoError(t, err)
	return c, d
}

var plan = Plan{Network: "127.77", PortBase: 7000}

// TestDecodersAcceptLayout reads every document with the decoder of the program
// that uses it.
func TestDecodersAcceptLayout(t *testing.T) {
	for _, name := range []string{"dorvakt", "zampa", "mixed"} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			c, d := readExample(t, name)
			require.NoError(t, Write(dir, plan, c, d))

			p, err := platform.ReadFile(filepath.Join(dir, "platform", "platform.json"))
			require.NoError(t, err)
			require.Equal(t, "catalogue", p.Keys[0].Key)
			again, err := catalogue.ReadFile(p.Keys[0].File)
			require.NoError(t, err)
			require.Equal(t, c, again)
			data, err := os.ReadFile(p.Keys[1].File)
			require.NoError(t, err)
			list, err := vmlist.Decode(data)
			require.NoError(t, err)

			addresses := map[string]bool{p.Address: true, p.AdminAddress: true}
			for _, vm := range list.VMs {
				checkVM(t, dir, vm, p, addresses)
			}
			count := 0
			for _, s := range d.Services {
				count += len(s.VMs)
			}
			require.Len(t, list.VMs, count)
			require.Len(t, addresses, 2+count*portsPerVM, "addresses are unique")
			for address := range addresses {
				require.True(t, netip.MustParseAddrPort(address).Addr().IsLoopback(), address)
			}
		})
	}
}

func checkVM(t *testing.T, dir string, vm vmlist.VM, p *platform.Settings, addresses map[string]bool) {
	t.Helper()
	n, err := settings.ReadFile(filepath.Join(dir, vm.Name, "node.json"))
	require.NoError(t, err)
	require.Equal(t, vm.Name, n.VM)
	require.Equal(t, vm.PeerAddress, n.PeerAddress)
	require.Equal(t, vm.CallerAddress, n.CallerAddress)
	require.Equal(t, []string{p.Address}, n.PlatformAddresses)
	for _, a := range []string{n.CallerAddress, n.PeerAddress, n.OutboundAddress, n.EndpointAddress, n.StatusAddress} {
		addresses[a] = true
	}
	for _, mode := range runner.Modes() {
		e, err := endpoint.ReadFile(filepath.Join(dir, vm.Name, "endpoint-"+string(mode)+".json"))
		require.NoError(t, err)
		require.Equal(t, n.EndpointAddress, e.EndpointAddress)
		require.Equal(t, vm.Service, e.Service)
		addresses[e.AdminAddress] = true
		require.Equal(t, mode == runner.ModeFixedLimit, e.QueueMax == 0)
		if mode != runner.ModeGalenacart {
			require.Equal(t, endpoint.RoutingModeDirect, e.Downstream.RoutingMode)
			require.Equal(t, 3, e.Downstream.Tries)
		} else {
			require.Equal(t, n.OutboundAddress, e.Downstream.OutboundAddress)
		}
	}
}

// TestRelayBetweenZones checks that nodes publish the relay's addresses and that
// the relay can identify the zone of each connection by its source address.
func TestRelayBetweenZones(t *testing.T) {
	dir := t.TempDir()
	c, d := readExample(t, "dorvakt")
	require.NoError(t, Write(dir, Plan{Network: "127.77", PortBase: 7000, Relay: true}, c, d))
	r, err := relay.ReadFile(filepath.Join(dir, "relay", "relay.json"))
	require.NoError(t, err)
	n, err := settings.ReadFile(filepath.Join(dir, "stock-2", "node.json"))
	require.NoError(t, err)
	require.Contains(t, r.Routes, relay.Route{Address: n.PeerAddress, Target: n.PeerListenAddress, AvailabilityZone: "stord"})
	require.Contains(t, r.Sources, relay.Source{Address: n.DialFromAddress, AvailabilityZone: "stord"})
	require.Equal(t, n.PlatformAddresses[0], r.Routes[0].Address)
	require.Len(t, r.Routes, 1+14)
	targets, err := runner.ReadTargets(filepath.Join(dir, "targets-zone-stord.json"))
	require.NoError(t, err)
	require.Len(t, targets.Nodes(), 4)
	require.Contains(t, targets.Nodes(), n.CallerAddress)
}

func TestTargetsAndProcesses(t *testing.T) {
	dir := t.TempDir()
	c, d := readExample(t, "dorvakt")
	require.NoError(t, Write(dir, plan, c, d))
	for _, mode := range runner.Modes() {
		targets, err := runner.ReadTargets(filepath.Join(dir, "targets-"+string(mode)+".json"))
		require.NoError(t, err)
		require.Equal(t, mode, targets.Mode)
		require.Len(t, targets.Nodes(), 14)
		nodes, endpoints := targets.SplitByService("stock")
		require.Len(t, nodes, 11)
		require.Len(t, endpoints, 3)
		if mode != runner.ModeGalenacart {
			require.Equal(t, endpoints, targets.Addresses("stock"))
		} else {
			require.Equal(t, targets.Nodes(), targets.Addresses("stock"))
		}
	}
	text, err := os.ReadFile(filepath.Join(dir, "processes-galenacart.txt"))
	require.NoError(t, err)
	require.Equal(t, 1+14+14, strings.Count(string(text), "\n"))
	require.Contains(t, string(text), "stock-1-node galenacart-node run -settings "+dir+"/stock-1/node.json\n")
	for _, mode := range runner.Modes()[1:] {
		text, err = os.ReadFile(filepath.Join(dir, "processes-"+string(mode)+".txt"))
		require.NoError(t, err)
		require.Equal(t, 14, strings.Count(string(text), "\n"))
		require.NotContains(t, string(text), "galenacart-node")
	}
}

func TestWriteRejectsInvalidInput(t *testing.T) {
	cases := []struct {
		desc, dir, want string
		plan            Plan
		drop            int // services removed from the deployment
	}{
		{"outside of the loopback network", "out", "127", Plan{Network: "10.1", PortBase: 7000}, 0},
		{"no network", "out", "127", Plan{Network: "x", PortBase: 7000}, 0},
		{"ephemeral port", "out", "port base", Plan{Network: "127.20", PortBase: 40000}, 0},
		{"privileged port", "out", "port base", Plan{Network: "127.20", PortBase: 80}, 0},
		{"white space", "my out", "white space", plan, 0},
		{"service without VMs", "out", `no VMs for service "bookings"`, plan, 1},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			cat, d := readExample(t, "dorvakt")
			d.Services = d.Services[c.drop:]
			dir := filepath.Join(t.TempDir(), c.dir)
			require.ErrorContains(t, Write(dir, c.plan, cat, d), c.want)
			require.NoDirExists(t, dir)
		})
	}
}
