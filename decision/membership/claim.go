package membership

// Claim is the status that a node reported of itself, in the form used for comparison.
type Claim struct {
	// Stamp is the node's logical time of the report. A process that starts on a VM
	// learns the logical time of its peers before it reports, so that its stamps are
	// greater than those of the previous process on the VM.
	Stamp uint64
	// Status is the reported status.
	Status Status
	// Incarnation identifies the run of the process.
	Incarnation uint64
}

// Supersedes reports whether c replaces other. The order is total, so that nodes converge
// on the same claim in whatever order claims arrive.
func (c Claim) Supersedes(other Claim) bool {
	switch {
	case c.Stamp != other.Stamp:
		return c.Stamp > other.Stamp
	case c.Status != other.Status:
		return c.Status > other.Status
	default:
		return c.Incarnation > other.Incarnation
	}
}
