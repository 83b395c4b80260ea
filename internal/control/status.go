package control

import (
	"encoding/hex"
	"sort"
	"strconv"
	"time"

	"github.com/galenacart/galenacart/decision/adoption"
)

// statusTimeout bounds the wait for a busy control thread.
const statusTimeout = time.Second

// Status is the state of the control side, for operators.
type Status struct {
	// VM is the VM of the node.
	VM string `json:"vm"`
	// Incarnation identifies the run of the process.
	Incarnation uint64 `json:"incarnation,string"`
	// Busy is set if the control thread did not answer in time.
	Busy bool `json:"busy,omitempty"`
	// Leaving is set once the planned stop has begun.
	Leaving bool `json:"leaving"`
	// Catalogue is the state of the catalogue.
	Catalogue DocumentStatus `json:"catalogue"`
	// VMs is the state of the VM list.
	VMs DocumentStatus `json:"vms"`
	// CatalogueBootstrap is how the node obtained its first catalogue: wait,
	// confirmed, without_peers or without_platform.
	CatalogueBootstrap string `json:"opening"`
	// Epoch counts the late wake-ups of the control thread, from 1.
	Epoch uint64 `json:"epoch"`
	// PlatformError is the reason for which reads of the platform fail, or empty.
	PlatformError string `json:"platformFailing,omitempty"`
	// PlatformReads counts the reads of the platform.
	PlatformReads int64 `json:"platformReads"`
	// Links counts the messages and bytes on the links since the start.
	Links LinkCounters `json:"links"`
	// Peers lists the links.
	Peers []PeerStatus `json:"peers"`
	// Members lists the VMs.
	Members []MemberStatus `json:"members"`
	// Suspects lists the requests that have crashed endpoints.
	Suspects []SuspectStatus `json:"suspects"`
	// LastRefused is the last peer that was refused or disconnected for a fault.
	LastRefused string `json:"lastRefused,omitempty"`
}

// LinkCounters counts the messages and bytes on all links of the process.
type LinkCounters struct {
	// MessagesSent counts messages to peers.
	MessagesSent uint64 `json:"messagesSent"`
	// BytesSent counts the payload bytes to peers.
	BytesSent uint64 `json:"bytesSent"`
	// MessagesReceived counts messages from peers.
	MessagesReceived uint64 `json:"messagesReceived"`
	// BytesReceived counts the payload bytes from peers.
	BytesReceived uint64 `json:"bytesReceived"`
}

// DocumentStatus is the state of one document.
type DocumentStatus struct {
	// Revision is the revision in force, 0 when there is none.
	Revision uint64 `json:"revision"`
	// ContentHash is the hash of the content in force.
	ContentHash string `json:"content"`
	// ReadRole is how the node reads the platform: none, watch (a reader) or check.
	ReadRole string `json:"duty"`
	// ReadAgeMs is the time since the newest known read of the platform, by this
	// node or a peer, in milliseconds, or -1.
	ReadAgeMs int64 `json:"readAgeMs"`
	// Refused is the last offered state that was refused, or nil.
	Refused *RefusalStatus `json:"refused,omitempty"`
}

// RefusalStatus is a refused state of a document.
type RefusalStatus struct {
	// Revision is the refused revision.
	Revision uint64 `json:"revision"`
	// ContentHash is the hash of the refused content.
	ContentHash string `json:"content"`
	// Source is "platform" or the VM that offered it.
	Source string `json:"source"`
	// Reason is why it was refused.
	Reason string `json:"reason"`
}

// PeerStatus is one link.
type PeerStatus struct {
	// VM is the peer's VM.
	VM string `json:"vm"`
	// AvailabilityZone is the peer's availability zone.
	AvailabilityZone string `json:"availabilityZone"`
	// Incarnation is the peer's incarnation.
	Incarnation uint64 `json:"incarnation,string"`
	// Dialled is set if this node made the link.
	Dialled bool `json:"dialled"`
	// Confirmed is set if the peer acknowledges heartbeats.
	Confirmed bool `json:"confirmed"`
	// Revision is the peer's revision of the catalogue.
	Revision uint64 `json:"revision"`
}

// MemberStatus is one VM.
type MemberStatus struct {
	// VM is the name of the VM.
	VM string `json:"vm"`
	// AvailabilityZone is its availability zone.
	AvailabilityZone string `json:"availabilityZone"`
	// Service is the service of its endpoint.
	Service string `json:"service"`
	// Incarnation is its incarnation, 0 when it is not known.
	Incarnation uint64 `json:"incarnation,string"`
	// State is live, leaving or gone.
	State string `json:"state"`
	// Evidence is the observation that decided the state.
	Evidence string `json:"evidence"`
}

// SuspectStatus is one request that has crashed endpoints.
type SuspectStatus struct {
	// Fingerprint identifies the request, in hexadecimal.
	Fingerprint string `json:"fingerprint"`
	// EndpointsLost is the number of endpoints that it crashed.
	EndpointsLost int `json:"lost"`
}

func hashText(h adoption.Hash) string {
	return hex.EncodeToString(h[:])
}

// hexText formats a fingerprint as logs and commands do.
func hexText(fingerprint uint64) string {
	return strconv.FormatUint(fingerprint, 16)
}

// status builds the Status. It runs on the control thread.
func (t *thread) status() Status {
	s := Status{
		VM:                 t.Settings.VM,
		Incarnation:        t.Incarnation,
		Leaving:            t.board.process.Get().leaving,
		Catalogue:          t.documentStatus(keyCatalogue),
		VMs:                t.documentStatus(keyVMs),
		CatalogueBootstrap: t.board.documents.Get().gateDecision.String(),
		Epoch:              t.board.process.Get().epoch,
		PlatformReads:      t.platformReads.Count(),
		LastRefused:        t.peers.lastRefused,
	}
	counters := t.peers.transport.Counters()
	s.Links = LinkCounters{
		MessagesSent: counters.MessagesSent.Load(), BytesSent: counters.BytesSent.Load(),
		MessagesReceived: counters.MessagesReceived.Load(), BytesReceived: counters.BytesReceived.Load(),
	}
	if c := t.board.platformState.Get(); c.failing {
		s.PlatformError = c.reason.String()
	}
	for vm, l := range t.peers.links {
		s.Peers = append(s.Peers, PeerStatus{
			VM: vm, AvailabilityZone: l.Remote.AvailabilityZone, Incarnation: l.Remote.Incarnation,
			Dialled: l.Dialled, Confirmed: l.confirmed, Revision: l.states[keyCatalogue].Revision,
		})
	}
	sort.Slice(s.Peers, func(i, j int) bool { return s.Peers[i].VM < s.Peers[j].VM })
	for vm, m := range t.board.members.Get().byVM {
		s.Members = append(s.Members, MemberStatus{
			VM: vm, AvailabilityZone: m.identity.AvailabilityZone, Service: m.identity.Service,
			Incarnation: m.identity.Incarnation, State: m.decision.State.String(), Evidence: m.decision.Reason,
		})
	}
	sort.Slice(s.Members, func(i, j int) bool { return s.Members[i].VM < s.Members[j].VM })
	for print, endpointsLost := range t.board.suspects.Get().endpointsLost {
		s.Suspects = append(s.Suspects, SuspectStatus{Fingerprint: hexText(print), EndpointsLost: endpointsLost})
	}
	sort.Slice(s.Suspects, func(i, j int) bool { return s.Suspects[i].Fingerprint < s.Suspects[j].Fingerprint })
	return s
}

func (t *thread) documentStatus(k key) DocumentStatus {
	d := t.board.documents.Get().byKey[k]
	platformState := t.board.platformState.Get()
	out := DocumentStatus{Revision: d.version.Revision, ContentHash: hashText(d.version.Hash), ReadRole: platformState.duty[k].String(), ReadAgeMs: -1}
	if lastRead := platformState.lastRead[k].newer(t.board.peerReads.Get()[k]); lastRead.known {
		out.ReadAgeMs = (t.now - lastRead.at).Milliseconds()
	}
	if r := d.lastRefusal; r != nil {
		out.Refused = &RefusalStatus{Revision: r.version.Revision, ContentHash: hashText(r.version.Hash), Source: r.source, Reason: r.reason}
	}
	return out
}
