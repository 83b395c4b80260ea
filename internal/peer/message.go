// Package peer implements the links between nodes: WebSocket frames with one CBOR
// message each, after a handshake that authenticates both nodes by the fleet key.
// It limits the resources that a peer can use; the control thread interprets the
// messages.
package peer

import (
	"github.com/galenacart/galenacart/internal/peer/delta"
)

// Bounds of one message.
const (
	// MaxMessageBytes bounds one encoded message.
	MaxMessageBytes = 256 << 10
	// PartBytes is the size at which a delta is split into parts.
	PartBytes = 64 << 10
	// MaxMemberRecords bounds the records in one message.
	MaxMemberRecords = 500
	// MaxSuspects bounds the suspects in one message.
	MaxSuspects = 1000
	// DigestBuckets is the number of buckets in which records are compared.
	DigestBuckets = 128
	// Documents is the number of documents that are replicated over links.
	Documents = 2

	maxNameBytes = 128
	// MaxSteps bounds the steps in one part.
	MaxSteps = 4096

	// MaxClock bounds the logical time of a message. It suffices for centuries of
	// events and prevents a faulty peer from exhausting the clock.
	MaxClock = 1 << 56
	// unknownAge encodes that no read of the platform is known.
	unknownAge = 1<<32 - 1
)

// Message is the content of one frame. Exactly one body is set.
type Message struct {
	// Clock is the sender's logical time.
	Clock uint64 `cbor:"1,keyasint"`
	// Heartbeat reports the sender's state, at least once a second.
	Heartbeat *Heartbeat `cbor:"2,keyasint,omitempty"`
	// Pull requests a document.
	Pull *Pull `cbor:"3,keyasint,omitempty"`
	// Part is a part of a document.
	Part *Part `cbor:"4,keyasint,omitempty"`
	// MemberRecords holds records of VMs.
	MemberRecords *MemberRecords `cbor:"5,keyasint,omitempty"`
	// BucketDigests starts a comparison of records.
	BucketDigests *BucketDigests `cbor:"6,keyasint,omitempty"`
	// Suspects holds requests that crashed endpoints.
	Suspects *Suspects `cbor:"7,keyasint,omitempty"`
}

// Heartbeat is a node's heartbeat on a link.
type Heartbeat struct {
	// Seq numbers the heartbeats of the sender on the link, from 1.
	Seq uint64 `cbor:"1,keyasint"`
	// Ack is the number of the last heartbeat received.
	Ack uint64 `cbor:"2,keyasint"`
	// Documents holds the states in force.
	Documents [Documents]DocumentState `cbor:"3,keyasint"`
	// Digest is the combined hash of the sender's records.
	Digest uint64 `cbor:"4,keyasint"`
}

// DocumentState is the state of one document at a node.
type DocumentState struct {
	// Revision is the revision in force, 0 when there is none.
	Revision uint64 `cbor:"1,keyasint"`
	// Hash identifies its content.
	Hash delta.Hash `cbor:"2,keyasint"`
	// ReadAgeMs is the time since the newest read of the platform that is known to
	// the sender, in milliseconds.
	ReadAgeMs uint32 `cbor:"3,keyasint"`
}

// Pull requests a document that a heartbeat announced.
type Pull struct {
	// Document is the number of the document.
	Document uint8 `cbor:"1,keyasint"`
	// Base is the hash of the requester's state.
	Base delta.Hash `cbor:"2,keyasint"`
}

// Part is one part of a delta. The parts are sent in order.
type Part struct {
	// Document is the number of the document.
	Document uint8 `cbor:"1,keyasint"`
	// Revision is the revision of the result.
	Revision uint64 `cbor:"2,keyasint"`
	// Hash is the hash of the result.
	Hash delta.Hash `cbor:"3,keyasint"`
	// Base is the hash of the state to which the delta applies.
	Base delta.Hash `cbor:"4,keyasint"`
	// Index is the number of the part, from 0.
	Index uint16 `cbor:"5,keyasint"`
	// Last is set on the last part.
	Last bool `cbor:"6,keyasint"`
	// Steps are the next steps of the delta.
	Steps []delta.Step `cbor:"7,keyasint"`
	// Entries are the next new entries.
	Entries [][]byte `cbor:"8,keyasint"`
}

// Lifecycle is the state that a node announces of itself.
type Lifecycle uint8

// The states that a node announces.
const (
	// Live means that the node accepts new requests.
	Live Lifecycle = iota
	// Leaving means that the node accepts no new requests.
	Leaving
	// Stopped means that the process is about to end.
	Stopped
)

// MemberRecord is a node's announcement of itself, forwarded by other nodes.
type MemberRecord struct {
	// VM is the name of the VM.
	VM string `cbor:"1,keyasint"`
	// AvailabilityZone is the VM's availability zone.
	AvailabilityZone string `cbor:"2,keyasint"`
	// Region is the region of the availability zone.
	Region string `cbor:"3,keyasint"`
	// Service is the service of the VM's endpoint.
	Service string `cbor:"4,keyasint"`
	// PeerAddress is the IP address and port of the VM's node.
	PeerAddress string `cbor:"5,keyasint"`
	// Incarnation identifies the run of the process.
	Incarnation uint64 `cbor:"6,keyasint"`
	// Stamp is the node's logical time of the announcement.
	Stamp uint64 `cbor:"7,keyasint"`
	// State is the node's state.
	State Lifecycle `cbor:"8,keyasint"`
	// AgeMs is the time since the announcement, in milliseconds.
	AgeMs uint32 `cbor:"9,keyasint"`
}

// MemberRecords is a list of records.
type MemberRecords struct {
	// List holds at most MaxMemberRecords records.
	List []MemberRecord `cbor:"1,keyasint"`
}

// BucketDigests holds the combined hashes of the sender's records by bucket. The
// receiver answers with its records of the buckets that differ.
type BucketDigests struct {
	// Digests has one hash for each bucket.
	Digests [DigestBuckets]uint64 `cbor:"1,keyasint"`
	// RecordsSent is set if the sender has already sent its own records of these
	// buckets.
	RecordsSent bool `cbor:"2,keyasint"`
}

// Suspect is the number of times that a request crashed the endpoint of a VM
// during one run of the VM's node.
type Suspect struct {
	// Fingerprint identifies the request.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// VM is the VM whose endpoint crashed.
	VM string `cbor:"2,keyasint"`
	// Count is the number of crashes.
	Count uint16 `cbor:"3,keyasint"`
	// AgeMs is the time since the last crash, in milliseconds.
	AgeMs uint32 `cbor:"4,keyasint"`
	// Incarnation identifies the run of the VM's node.
	Incarnation uint64 `cbor:"5,keyasint"`
}

// Suspects is a list of suspects.
type Suspects struct {
	// List holds at most MaxSuspects entries.
	List []Suspect `cbor:"1,keyasint"`
}
