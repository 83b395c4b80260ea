package inspect

import (
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/galenacart/galenacart/internal/status"
)

// ZoneCount counts the nodes of an availability zone by the revision in force,
// compared with the one that is rolled out.
type ZoneCount struct {
	// AvailabilityZone is the zone.
	AvailabilityZone string
	// InForce counts nodes on which exactly this revision is in force.
	InForce int
	// Newer counts nodes on which a newer revision is in force.
	Newer int
	// Older counts nodes on which an older revision or none is in force.
	Older int
}

// MissingNode is a node on which a revision is not in force yet.
type MissingNode struct {
	// Name is the VM, or the address of a node whose query failed.
	Name string
	// Reason says why the revision is not in force.
	Reason string
}

// Rollout is the progress of a revision's rollout.
type Rollout struct {
	// Revision is the platform's revision of the catalogue.
	Revision uint64
	// Zones holds the counts, ordered by zone.
	Zones []ZoneCount
	// Missing lists the nodes on which neither it nor a newer one is in force.
	Missing []MissingNode
}

// NewRollout computes the progress of a revision from the answers of nodes.
func NewRollout(revision uint64, answers []Answer) *Rollout {
	r := &Rollout{Revision: revision}
	for _, a := range sortByZone(answers) {
		if a.Err != nil {
			r.Missing = append(r.Missing, MissingNode{Name: a.Address, Reason: oneLine(a.Err.Error())})
			continue
		}
		r.add(&a.Summary)
	}
	return r
}

func (s *Rollout) add(n *status.Summary) {
	index := slices.IndexFunc(s.Zones, func(z ZoneCount) bool { return z.AvailabilityZone == n.AvailabilityZone })
	if index < 0 {
		index = len(s.Zones)
		s.Zones = append(s.Zones, ZoneCount{AvailabilityZone: n.AvailabilityZone})
	}
	zone := &s.Zones[index]
	switch {
	case n.Catalogue.Revision == s.Revision:
		zone.InForce++
	case n.Catalogue.Revision > s.Revision:
		zone.Newer++
	default:
		zone.Older++
		s.Missing = append(s.Missing, MissingNode{Name: n.VM, Reason: s.reason(n)})
	}
}

// reason returns why an older revision or none is in force on a node.
func (s *Rollout) reason(n *status.Summary) string {
	c := n.Catalogue
	current := fmt.Sprintf("revision %d is in force", c.Revision)
	if c.Revision == 0 {
		current = "no catalogue is in force"
	}
	switch {
	case c.Refused >= s.Revision:
		return withReason(fmt.Sprintf("%s, revision %d was refused", current, c.Refused), c.Reason)
	case c.Reason != "":
		return withReason(current, c.Reason)
	case n.Leaving:
		return current + ", the node is leaving"
	default:
		return current + ", no newer one has reached the node"
	}
}

// Write writes the counts and the nodes on which the revision is missing.
func (s *Rollout) Write(w io.Writer) error {
	out := newTable(w, "AVAILABILITY ZONE", "IN FORCE", "NEWER", "OLDER")
	for _, z := range s.Zones {
		out.row(z.AvailabilityZone, strconv.Itoa(z.InForce), strconv.Itoa(z.Newer), strconv.Itoa(z.Older))
	}
	if err := out.flush(); err != nil || len(s.Missing) == 0 {
		return err
	}
	out = newTable(w, "\nMISSING ON", "REASON")
	for _, m := range s.Missing {
		out.row(m.Name, m.Reason)
	}
	return out.flush()
}
