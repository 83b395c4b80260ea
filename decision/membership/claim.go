package membership

// Claim is what a node said of itself, in the form that is compared.
type Claim struct {
	// Stamp is the node's logical time when it said so. A process that starts
	// on a VM hears the logical time of its peers before it speaks, so that its
	// stamps are greater than those of the process before it.
	Stamp uint64
	// Said is what the node said.
	Said Said
	// Incarnation identifies the run of the process.
	Incarnation uint64
}

// Newer reports whether c replaces other. The order is total, so that nodes end
// with the same claim in whatever order claims reach them.
func (c Claim) Newer(other Claim) bool {
	switch {
	case c.Stamp != other.Stamp:
		return c.Stamp > other.Stamp
	case c.Said != other.Said:
		return c.Said > other.Said
	default:
		return c.Incarnation > other.Incarnation
	}
}
