// Package peer is the link between two nodes: WebSocket frames with one CBOR
// message each, after a handshake that proves membership of the fleet. It
// bounds what the other side can cost; what the messages mean is decided by the
// control thread.
package peer

import (
	"github.com/galenacart/galenacart/internal/peer/delta"
)

// Bounds of one message.
const (
	// MaxMessageBytes bounds one encoded message.
	MaxMessageBytes = 256 << 10
	// PartBytes is the size at which a delta is cut into parts.
	PartBytes = 64 << 10
	// MaxMemberRecords bounds the records in one message.
	MaxMemberRecords = 500
	// MaxSuspects bounds the suspects in one message.
	MaxSuspects = 1000
	// DigestBuckets is the number of groups in which records are compared.
	DigestBuckets = 128
	// Documents is the number of documents that spread over links.
	Documents = 2

	maxNameBytes = 128
	// MaxSteps bounds the steps in one part.
	MaxSteps = 4096

	// MaxClock bounds the logical time that a peer may name. It leaves room for
	// centuries of events and keeps a faulty peer from using up the clock.
	MaxClock = 1 << 56
	// unknownAge stands for "no read of the platform known".
	unknownAge = 1<<32 - 1
)

// Message is everything that one frame can hold. Exactly one body is set.
type Message struct {
	// Clock is the sender's logical time.
	Clock uint64 `cbor:"1,keyasint"`
	// Heartbeat tells the sender's state, at least once a second.
	Heartbeat *Heartbeat `cbor:"2,keyasint,omitempty"`
	// Pull asks for a document.
	Pull *Pull `cbor:"3,keyasint,omitempty"`
	// Part is a piece of a document.
	Part *Part `cbor:"4,keyasint,omitempty"`
	// MemberRecords tells of VMs.
	MemberRecords *MemberRecords `cbor:"5,keyasint,omitempty"`
	// BucketDigests finds the records that differ.
	BucketDigests *BucketDigests `cbor:"6,keyasint,omitempty"`
	// Suspects tells of requests that crashed endpoints.
	Suspects *Suspects `cbor:"7,keyasint,omitempty"`
}

// Heartbeat is a node's heartbeat on a link.
type Heartbeat struct {
	// Seq numbers the beats of the link.
	Seq uint64 `cbor:"1,keyasint"`
	// Ack is the number of the last beat received.
	Ack uint64 `cbor:"2,keyasint"`
	// Documents tells the states in force.
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
	// ReadAgeMs is the time since the newest read of the platform that the
	// sender knows of, in milliseconds.
	ReadAgeMs uint32 `cbor:"3,keyasint"`
}

// Pull asks for a document that a beat named.
type Pull struct {
	// Document is the number of the document.
	Document uint8 `cbor:"1,keyasint"`
	// Base is the hash of the state that the asker has.
	Base delta.Hash `cbor:"2,keyasint"`
}

// Part is one piece of a delta. The parts of a delta follow each other.
type Part struct {
	// Document is the number of the document.
	Document uint8 `cbor:"1,keyasint"`
	// Revision is the revision of the result.
	Revision uint64 `cbor:"2,keyasint"`
	// Hash is the hash of the result.
	Hash delta.Hash `cbor:"3,keyasint"`
	// Base is the hash of the state to begin with.
	Base delta.Hash `cbor:"4,keyasint"`
	// Index counts the parts from 0.
	Index uint16 `cbor:"5,keyasint"`
	// Last says that no further part follows.
	Last bool `cbor:"6,keyasint"`
	// Steps are the next steps of the delta.
	Steps []delta.Step `cbor:"7,keyasint"`
	// Entries are the next new entries.
	Entries [][]byte `cbor:"8,keyasint"`
}

// Lifecycle is what a node says of itself.
type Lifecycle uint8

// The states of a node in its own words.
const (
	// Live means that the node takes work.
	Live Lifecycle = iota
	// Leaving means that the node takes no new work.
	Leaving
	// Stopped means that the process is about to end.
	Stopped
)

// MemberRecord is what a node said of itself, passed on by others.
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
	// Stamp is the node's logical time when it said so.
	Stamp uint64 `cbor:"7,keyasint"`
	// State is the node's state.
	State Lifecycle `cbor:"8,keyasint"`
	// AgeMs is the time since the node said so, in milliseconds.
	AgeMs uint32 `cbor:"9,keyasint"`
}

// MemberRecords is a list of records.
type MemberRecords struct {
	// List holds at most MaxRecords.
	List []MemberRecord `cbor:"1,keyasint"`
}

// BucketDigests tells the combined hashes of the sender's records by bucket. The
// receiver sends its records of the buckets that differ.
type BucketDigests struct {
	// Digests has one hash for each bucket.
	Digests [DigestBuckets]uint64 `cbor:"1,keyasint"`
	// RecordsSent says that the sender has just sent its own records.
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
	// List holds at most MaxSuspects.
	List []Suspect `cbor:"1,keyasint"`
}
