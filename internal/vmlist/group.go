package vmlist

// GroupedList is the compact form of a list, in which VMs share their common
// fields, so that more VMs fit into one value of the platform. Nodes expand it
// when they decode it, so that they exchange the same entries for both forms.
type GroupedList struct {
	// Groups holds the VMs by zone and service.
	Groups []Group `json:"groups"`
	// VMs holds the VMs that are not in a group.
	VMs []VM `json:"vms,omitempty"`
}

// Group holds the VMs of one service in one availability zone.
type Group struct {
	// AvailabilityZone is the VMs' availability zone.
	AvailabilityZone string `json:"availabilityZone"`
	// Region is the region of the availability zone.
	Region string `json:"region"`
	// Service is the service of the VMs' endpoints.
	Service string `json:"service"`
	// VMs holds the VMs.
	VMs []GroupVM `json:"vms"`
}

// GroupVM is one VM of a group.
type GroupVM struct {
	// Name is the unique name of the VM.
	Name string `json:"vm"`
	// PeerAddress is the IP address and port at which nodes reach the VM's node.
	PeerAddress string `json:"peerAddress"`
	// CallerAddress is the IP address and port at which callers reach it.
	CallerAddress string `json:"callerAddress"`
	// State is live or leaving; empty means live.
	State State `json:"state,omitempty"`
}

// NewGroupedList returns the compact form of a list.
func NewGroupedList(l *List) *GroupedList {
	type groupKey struct{ zone, region, service string }
	g := &GroupedList{}
	groupIndex := make(map[groupKey]int)
	for i := range l.VMs {
		vm := &l.VMs[i]
		key := groupKey{vm.AvailabilityZone, vm.Region, vm.Service}
		index, known := groupIndex[key]
		if !known {
			index = len(g.Groups)
			groupIndex[key] = index
			g.Groups = append(g.Groups, Group{AvailabilityZone: key.zone, Region: key.region, Service: key.service})
		}
		groupVM := GroupVM{Name: vm.Name, PeerAddress: vm.PeerAddress, CallerAddress: vm.CallerAddress}
		if vm.State != Live {
			groupVM.State = vm.State
		}
		g.Groups[index].VMs = append(g.Groups[index].VMs, groupVM)
	}
	return g
}

// flatten returns all VMs: those without a group, then those of each group.
func (g *GroupedList) flatten() *List {
	l := &List{VMs: g.VMs}
	for i := range g.Groups {
		group := &g.Groups[i]
		for _, vm := range group.VMs {
			if vm.State == "" {
				vm.State = Live
			}
			l.VMs = append(l.VMs, VM{
				Name: vm.Name, AvailabilityZone: group.AvailabilityZone, Region: group.Region, Service: group.Service,
				PeerAddress: vm.PeerAddress, CallerAddress: vm.CallerAddress, State: vm.State,
			})
		}
	}
	return l
}
