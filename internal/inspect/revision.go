package inspect

import (
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/galenacart/galenacart/internal/status"
)

// ZoneCount says on how many nodes of an availability zone a revision is in
// force.
type ZoneCount struct {
	// AvailabilityZone is the zone.
	AvailabilityZone string
	// InForce counts nodes that act on exactly the revision.
	InForce int
	// Newer counts nodes that act on a newer revision.
	Newer int
	// Older counts nodes that act on an older revision or on none.
	Older int
}

// MissingNode is a node on which a revision is not in force yet.
type MissingNode struct {
	// Name is the VM, or the address of a node without an answer.
	Name string
	// Reason says what holds the revision back.
	Reason string
}

// Rollout says how far a revision got.
type Rollout struct {
	// Revision is the platform's revision of the catalogue.
	Revision uint64
	// Zones holds the counts, ordered by zone.
	Zones []ZoneCount
	// Missing lists the nodes that lack it, with the reason.
	Missing []MissingNode
}

// NewRollout sums up how far a revision got.
func NewRollout(revision uint64, answers []Answer) *Rollout {
	s := &Rollout{Revision: revision}
	for _, a := range sorted(answers) {
		if a.Err != nil {
			s.Missing = append(s.Missing, MissingNode{Name: a.Address, Reason: oneLine(a.Err.Error())})
			continue
		}
		s.add(&a.Summary)
	}
	return s
}

func (s *Rollout) add(n *status.Summary) {
	at := slices.IndexFunc(s.Zones, func(z ZoneCount) bool { return z.AvailabilityZone == n.AvailabilityZone })
	if at < 0 {
		at = len(s.Zones)
		s.Zones = append(s.Zones, ZoneCount{AvailabilityZone: n.AvailabilityZone})
	}
	zone := &s.Zones[at]
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

// reason says why a node acts on an older revision.
func (s *Rollout) reason(n *status.Summary) string {
	c := n.Catalogue
	have := fmt.Sprintf("revision %d is in force", c.Revision)
	if c.Revision == 0 {
		have = "no catalogue is in force"
	}
	switch {
	case c.Refused >= s.Revision:
		return withReason(fmt.Sprintf("%s, revision %d was refused", have, c.Refused), c.Reason)
	case c.Reason != "":
		return withReason(have, c.Reason)
	case n.Leaving:
		return have + ", the node is leaving"
	default:
		return have + ", no newer one has reached the node"
	}
}

// Write writes the counts and the nodes that lack the revision.
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
