// Package readers decides which nodes read the platform, and how often. There is
// no election: nodes with different VM lists may choose different readers, which
// costs reads and never correctness.
package readers

import "time"

const (
	// PerZone is the number of readers in each availability zone.
	PerZone = 3
	// StartWindow is the time over which nodes that start at once spread their
	// first read. It is the time in which a node of UnknownFleet has one read in
	// its share, so that no node comes to its second read before the last one has
	// come to its first, and the fleet makes FleetLimit reads in each second from
	// the start. A node that hears from its first read that the fleet is smaller
	// reads again sooner, and there are fewer of them: with n nodes that all read
	// as often as they may, n/StartWindow first reads and at most FleetLimit others
	// come in a second, and most together at the size where second reads begin
	// just before the first ones end. TestStartOfAnyFleetKeepsTheLimit counts them.
	StartWindow = AssumedFleetSize * time.Second / FleetRateLimit
)

// mixFactor is an odd constant with about as many one bits as zero bits, the
// multiplier of the splitmix64 generator's first step.
const mixFactor = 0xbf58476d1ce4e5b9

// Score is the weight of a VM in rendezvous hashing. vmHash and saltHash are
// 64-bit hashes of the VM's name and of what is chosen.
func Score(vmHash, saltHash uint64) uint64 {
	x := vmHash ^ saltHash
	x ^= x >> 30
	x *= mixFactor
	x ^= x >> 27
	x *= mixFactor
	return x ^ x>>31
}

// Top returns the indexes of the n hashes with the highest scores, the highest
// first. Equal scores go by hash, so that the order of the input has no effect.
func Top(hashes []uint64, saltHash uint64, n int) []int {
	var top []int
	for i := range hashes {
		at := len(top)
		for at > 0 && above(hashes[i], hashes[top[at-1]], saltHash) {
			at--
		}
		if at >= n {
			continue
		}
		if len(top) < n {
			top = append(top, 0)
		}
		copy(top[at+1:], top[at:])
		top[at] = i
	}
	return top
}

func above(a, b, saltHash uint64) bool {
	scoreA, scoreB := Score(a, saltHash), Score(b, saltHash)
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a > b
}

// RoundSalt returns the salt by which readers are chosen while two revisions are in
// force. Each change has other readers, so that what they read falls on all nodes
// in turn.
func RoundSalt(vmsRevision, catalogueRevision uint64) uint64 {
	return Score(Score(vmsRevision, 0), catalogueRevision)
}

const (
	// relaysMin is the least number of nodes of a zone that read a platform which
	// tells every change, and relay it to the others: one may end or freeze.
	relaysMin = 2
	// nodesPerRelay bounds what one of them sends in a large zone. A listener costs
	// some 0.4 KB/s of beats, and 18 KB/s is the users' bound for each node.
	nodesPerRelay = 25
)

// RelayCount returns the number of nodes of a zone that read for the others.
func RelayCount(nodes int) int {
	return max(relaysMin, (nodes+nodesPerRelay-1)/nodesPerRelay)
}

// IsReader reports whether the VM with the hash self is one of the readers of
// its zone. zone holds the hashes of the zone's live VMs.
func IsReader(zone []uint64, self, saltHash uint64) bool {
	for _, i := range Top(zone, saltHash, PerZone) {
		if zone[i] == self {
			return true
		}
	}
	return false
}
