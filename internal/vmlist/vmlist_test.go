package vmlist

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDecode(t *testing.T) {
	tests := []struct {
		desc, text string
		vms        int
		fails      bool
	}{
		{desc: "one VM", text: `{"vms":[{"vm":"a","state":"live"}]}`, vms: 1},
		{desc: "unknown field of a newer platform", text: `{"vms":[{"vm":"a","rack":"r1"}],"epoch":3}`, vms: 1},
		{desc: "groups", text: `{"groups":[{"service":"s","vms":[{"vm":"a"},{"vm":"b"}]}],"vms":[{"vm":"c"}]}`, vms: 3},
		{desc: "truncated", text: `{"vms":[{"vm":"a"`, fails: true},
		{desc: "wrong type", text: `{"vms":7}`, fails: true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			l, err := Decode([]byte(test.text))
			require.Equal(t, test.fails, err != nil)
			if err == nil {
				require.Len(t, l.VMs, test.vms)
			}
		})
	}
}

// Guards against a grouped list of the planned fleet that exceeds one value of the
// platform or decodes to other VMs.
func TestGroupedListOfPlannedFleetFitsIntoOneValue(t *testing.T) {
	const vms, zones, services, valueBytes = 5900, 10, 190, 1 << 20
	l := &List{}
	for i := range vms {
		service, zone := fmt.Sprintf("dispatch-archive-%03d", i%services), i/services%zones
		l.VMs = append(l.VMs, VM{
			Name: fmt.Sprintf("%s-%04d", service, i), AvailabilityZone: fmt.Sprintf("vestland-%d", zone), Region: "vestland",
			Service: service, PeerAddress: "10.123.123.123:7001", CallerAddress: "10.123.123.123:7000", State: Live,
		})
	}
	l.VMs[1].State = Leaving
	data, err := json.Marshal(NewGroupedList(l))
	require.NoError(t, err)
	require.Less(t, len(data), valueBytes)
	decoded, err := Decode(data)
	require.NoError(t, err)
	byName := func(a, b VM) int { return strings.Compare(a.Name, b.Name) }
	slices.SortFunc(l.VMs, byName)
	slices.SortFunc(decoded.VMs, byName)
	require.Equal(t, l.VMs, decoded.VMs)
}
