package membership

// Claim is what a node said of itself, in the form that is compared.
type Claim struct {
	// Stamp is the node's logical time when it said so. A process that starts
	// on a VM hears the logical time of its peers before it speaks, so that its
	// stamps are greater than those of the process before it.
	Stamp uint64
	// Status is what the node said.
	Status Status
	// Incarnation identifies the run of the process.
	Incarnation uint64
}

// Supersedes reports whether c replaces other. The order is total, so that nodes end
// with the same claim in whatever order claims reach them.
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
