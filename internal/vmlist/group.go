package vmlist

// GroupedList is the short form of a list, in which VMs share what they have in
// common. The platform's limit for one value holds more VMs in this form. Nodes
// take it apart at once, so that they tell each other the same entries whichever
// form the platform has.
type GroupedList struct {
	// Groups holds the VMs by place and service.
	Groups []Group `json:"groups"`
	// VMs holds the VMs that stand alone.
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
	// State is live or leaving. Without one the VM is live.
	State State `json:"state,omitempty"`
}

// NewGroupedList returns the short form of a list.
func NewGroupedList(l *List) *GroupedList {
	type common struct{ zone, region, service string }
	g := &GroupedList{}
	places := make(map[common]int)
	for i := range l.VMs {
		vm := &l.VMs[i]
		in := common{vm.AvailabilityZone, vm.Region, vm.Service}
		at, known := places[in]
		if !known {
			at = len(g.Groups)
			places[in] = at
			g.Groups = append(g.Groups, Group{AvailabilityZone: in.zone, Region: in.region, Service: in.service})
		}
		one := GroupVM{Name: vm.Name, PeerAddress: vm.PeerAddress, CallerAddress: vm.CallerAddress}
		if vm.State != Live {
			one.State = vm.State
		}
		g.Groups[at].VMs = append(g.Groups[at].VMs, one)
	}
	return g
}

// list returns all VMs: those that stand alone, then those of each group.
func (g *GroupedList) list() *List {
	l := &List{VMs: g.VMs}
	for i := range g.Groups {
		in := &g.Groups[i]
		for _, one := range in.VMs {
			if one.State == "" {
				one.State = Live
			}
			l.VMs = append(l.VMs, VM{
				Name: one.Name, AvailabilityZone: in.AvailabilityZone, Region: in.Region, Service: in.Service,
				PeerAddress: one.PeerAddress, CallerAddress: one.CallerAddress, State: one.State,
			})
		}
	}
	return l
}
