package deployment

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/catalogue"
)

const examples = "../../../examples/"

func TestExampleSizes(t *testing.T) {
	cases := []struct {
		name               string
		perService         [2]int // least and most VMs
		least, leastConns  int    // slots and connections of the smallest VM
		largest, mostConns int
	}{
		{"dorvakt", [2]int{3, 4}, 10, 200, 70, 500},
		{"zampa", [2]int{3, 3}, 20, 200, 50, 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cat, err := catalogue.ReadFile(examples + c.name + "/catalogue.json")
			require.NoError(t, err)
			d, err := ReadFile(examples + c.name + "/deployment.json")
			require.NoError(t, err)
			require.Empty(t, d.CheckAgainst(cat))
			require.Len(t, cat.Classes, 2)
			require.Len(t, d.AvailabilityZones, 3)
			require.Len(t, d.Services, 4)
			var slots, connections []int
			for _, s := range d.Services {
				require.GreaterOrEqual(t, len(s.VMs), c.perService[0])
				require.LessOrEqual(t, len(s.VMs), c.perService[1])
				for _, vm := range s.VMs {
					slots = append(slots, vm.Slots)
					connections = append(connections, vm.Connections)
				}
			}
			require.Contains(t, slots, c.least)
			require.Contains(t, slots, c.largest)
			require.Contains(t, connections, c.leastConns)
			require.Contains(t, connections, c.mostConns)
		})
	}
}

// TestExampleCallsMatchServiceGraph checks that the calls of the deployments match
// the service graph and the timeouts of the catalogues.
func TestExampleCallsMatchServiceGraph(t *testing.T) {
	for _, name := range []string{"dorvakt", "zampa"} {
		cat, err := catalogue.ReadFile(examples + name + "/catalogue.json")
		require.NoError(t, err)
		d, err := ReadFile(examples + name + "/deployment.json")
		require.NoError(t, err)
		routes := map[string]*catalogue.Route{}
		for i := range cat.Routes {
			routes[cat.Routes[i].Name] = &cat.Routes[i]
		}
		index := catalogue.NewIndex(cat)
		for _, r := range d.Routes {
			for _, called := range r.Calls {
				from, to := routes[r.Name], routes[called]
				require.Contains(t, index.Service(from.Service).Callees, to.Service, "%s calls %s", r.Name, called)
				require.Less(t, to.Timeout(), from.Timeout(), "%s calls %s", r.Name, called)
				require.True(t, to.Internal)
				require.Equal(t, from.Idempotent, to.Idempotent)
			}
		}
	}
}

func TestDecodeRejectsInvalidInput(t *testing.T) {
	data, err := os.ReadFile(examples + "dorvakt/deployment.json")
	require.NoError(t, err)
	good := string(data)
	cases := []struct {
		desc, old, changed, want string
	}{
		{"unknown field", `"region"`, `"regjon"`, "regjon"},
		{"unknown availability zone", `"availabilityZone": "stord"`, `"availabilityZone": "voss"`, `/services/0/vms/1/availabilityZone: no such availability zone: "voss"`},
		{"two VMs with the same name", `"name": "bookings-2"`, `"name": "bookings-1"`, `/services/0/vms/1/name: second VM named "bookings-1"`},
		{"unknown call", `"assign-technician"`, `"assign"`, `/routes/1/calls/0: no such route: "assign"`},
		{"route that calls itself", `"reserve-part"`, `"book-repair"`, `route "book-repair" calls itself`},
		{"no slots", `"slots": 70`, `"slots": 0`, "/services/0/vms/0/slots: the value is missing or zero; want at least 1"},
		{"short key", `dorvakt-example-fleet-key`, `short`, "/fleetKey: have 5 characters; want at least 16"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			require.Contains(t, good, c.old)
			_, err := Decode("d.json", []byte(strings.Replace(good, c.old, c.changed, 1)))
			require.ErrorContains(t, err, "d.json: ")
			require.ErrorContains(t, err, c.want)
		})
	}
}

func TestCheckAgainstCatalogue(t *testing.T) {
	cat, err := catalogue.ReadFile(examples + "dorvakt/catalogue.json")
	require.NoError(t, err)
	d, err := ReadFile(examples + "dorvakt/deployment.json")
	require.NoError(t, err)
	d.Services = d.Services[1:]
	d.Routes = d.Routes[1:]
	faults := d.CheckAgainst(cat)
	require.Len(t, faults, 2)
	require.Equal(t, "/services/0", faults[0].Pointer)
	require.Equal(t, "/routes/0", faults[1].Pointer)
}
