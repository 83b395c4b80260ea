package planning

// secondsPerDay converts counts per day to rates.
const secondsPerDay = 24 * 60 * 60

// Target is the fleet size and load to plan for.
type Target struct {
	// Nodes is the number of nodes, one on each VM.
	Nodes int `json:"nodes"`
	// Zones is the number of availability zones in all regions.
	Zones int `json:"zones"`
	// Services is the number of services.
	Services int `json:"services"`
	// CallsPerSecond is the rate of calls in the fleet, including those of
	// endpoints.
	CallsPerSecond float64 `json:"callsPerSecond"`
	// ChangesPerDay is the number of changes of the catalogue.
	ChangesPerDay float64 `json:"changesPerDay"`
	// RestartsPerDay is the number of VMs restarted, replaced or lost.
	RestartsPerDay float64 `json:"restartsPerDay"`
	// RackVMs is the number of VMs behind one switch.
	RackVMs int `json:"rackVMs"`
}

// ZoneVMs returns the number of VMs of a zone.
func (t Target) ZoneVMs() float64 {
	return float64(t.Nodes) / float64(t.Zones)
}

// CallsPerNode returns the rate of calls that a node receives from callers.
func (t Target) CallsPerNode() float64 {
	return t.CallsPerSecond / float64(t.Nodes)
}

// PlannedTarget returns the size that the users expect within two years.
func PlannedTarget() Target {
	const restarts, failures = 800, 6
	return Target{
		Nodes: 5900, Zones: 10, Services: 190,
		CallsPerSecond: 2.3e6, ChangesPerDay: 2700, RestartsPerDay: restarts + failures, RackVMs: 40,
	}
}

// Limits holds the bounds that the users set.
type Limits struct {
	// CPU is the processor time of the control plane on a node, in seconds per
	// second.
	CPU float64 `json:"cpu"`
	// MemoryBytes is the memory of the control plane on a node.
	MemoryBytes float64 `json:"memoryBytes"`
	// BytesPerSecond is the rate of control bytes that a node sends and receives.
	BytesPerSecond float64 `json:"bytesPerSecond"`
	// ChangeSeconds is the time within which a change must be in force everywhere.
	ChangeSeconds float64 `json:"changeSeconds"`
	// ReadsPerSecond is the read rate that the platform serves to all readers
	// together.
	ReadsPerSecond float64 `json:"readsPerSecond"`
	// ValueBytes is the maximum size of a value in the platform.
	ValueBytes float64 `json:"valueBytes"`
	// AddedMicros is the latency that may be added to 99 in 100 calls, in
	// microseconds.
	AddedMicros float64 `json:"addedMicros"`
}

// UserLimits returns the users' bounds.
func UserLimits() Limits {
	return Limits{
		CPU: 0.017, MemoryBytes: 64e6, BytesPerSecond: 18e3, ChangeSeconds: 16,
		ReadsPerSecond: 2000, ValueBytes: 1 << 20, AddedMicros: 1100,
	}
}
