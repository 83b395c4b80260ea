// Package readers decides which nodes read the platform, and how often. There is no
// election: nodes with different VM lists may choose different readers, which costs
// additional reads but does not affect correctness.
package readers

import "time"

const (
	// PerZone is the number of readers in each availability zone.
	PerZone = 3
	// StartWindow is the time over which nodes that start simultaneously spread their
	// first read. A fleet of AssumedFleetSize nodes then makes FleetRateLimit reads a
	// second from the start, and no node makes its second read before every node has made
	// its first. In a smaller fleet of n nodes, which read again sooner once their first
	// read has given them the size, there are
	// n/StartWindow first reads and at most FleetRateLimit others a second; see
	// TestFleetStartStaysWithinRateLimit for the size with the highest sum, where second
	// reads begin just before the first ones end.
	StartWindow = AssumedFleetSize * time.Second / FleetRateLimit
)

// mixFactor is the multiplier of the first step of the splitmix64 generator, an odd
// constant with about as many one bits as zero bits.
const mixFactor = 0xbf58476d1ce4e5b9

// Score returns the weight of a VM in rendezvous hashing. vmHash and saltHash are 64-bit
// hashes of the VM's name and of the purpose of the selection.
func Score(vmHash, saltHash uint64) uint64 {
	x := vmHash ^ saltHash
	x ^= x >> 30
	x *= mixFactor
	x ^= x >> 27
	x *= mixFactor
	return x ^ x>>31
}

// Top returns the indexes of the n hashes with the highest scores, the highest first.
// Ties are broken by hash, so that the order of the input has no effect.
func Top(hashes []uint64, saltHash uint64, n int) []int {
	var top []int
	for i := range hashes {
		pos := len(top)
		for pos > 0 && ranksHigher(hashes[i], hashes[top[pos-1]], saltHash) {
			pos--
		}
		if pos >= n {
			continue
		}
		if len(top) < n {
			top = append(top, 0)
		}
		copy(top[pos+1:], top[pos:])
		top[pos] = i
	}
	return top
}

func ranksHigher(a, b, saltHash uint64) bool {
	scoreA, scoreB := Score(a, saltHash), Score(b, saltHash)
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a > b
}

// RoundSalt returns the salt for choosing readers at a pair of revisions. Each change
// selects other readers, which spreads the load of reading over all nodes.
func RoundSalt(vmsRevision, catalogueRevision uint64) uint64 {
	return Score(Score(vmsRevision, 0), catalogueRevision)
}

const (
	// relaysMin is the minimum number of relays in a zone: nodes that watch a platform
	// which publishes every change, and forward the changes to the other nodes. A
	// single relay may stop or freeze.
	relaysMin = 2
	// nodesPerRelay limits the outgoing traffic of a relay in a large zone. A
	// subscriber costs about 0.4 KB/s of heartbeats, and the users' limit for the traffic
	// of a node is 18 KB/s.
	nodesPerRelay = 25
)

// RelayCount returns the number of relays in a zone of that many nodes.
func RelayCount(nodes int) int {
	return max(relaysMin, (nodes+nodesPerRelay-1)/nodesPerRelay)
}

// IsReader reports whether the VM with the hash self is one of the readers of its zone.
// zone holds the hashes of the zone's live VMs.
func IsReader(zone []uint64, self, saltHash uint64) bool {
	for _, i := range Top(zone, saltHash, PerZone) {
		if zone[i] == self {
			return true
		}
	}
	return false
}
