// Package call is the description that travels with a call between nodes.
package call

import (
	"encoding/base64"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/priority"
)

// Headers between nodes, endpoints and callers.
const (
	// HeaderMeta carries the encoded Meta between nodes.
	HeaderMeta = "Galenacart-Meta"
	// HeaderFleetProof carries the proof that the sender is a node of the fleet.
	HeaderFleetProof = "Galenacart-Fleet"
	// HeaderReply carries the encoded Reply on an answer between nodes.
	HeaderReply = "Galenacart-Reply"
	// HeaderCall tells an endpoint the ID of the call that it runs.
	HeaderCall = "Galenacart-Call"
	// HeaderParent is set by an endpoint on its own calls: the ID of the call
	// for which it makes them.
	HeaderParent = "Galenacart-Parent"
	// HeaderTimeout carries the remaining time, in milliseconds.
	HeaderTimeout = "Galenacart-Timeout-Ms"
	// HeaderIdempotencyKey carries a token of a node or a caller's own key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAnswerHash is the trailer with the hash of a whole answer between nodes.
	HeaderAnswerHash = "Galenacart-Sum"
	// HeaderToken gives a caller a fresh idempotency token.
	HeaderToken = "Galenacart-Token"
	// HeaderCorrelation gives a caller the ID under which events are logged.
	HeaderCorrelation = "Galenacart-Correlation"
	// HeaderPrefix is common to every header that only nodes set or read.
	HeaderPrefix = "Galenacart-"
)

// maxEncodedBytes bounds an encoded Meta or Reply.
const maxEncodedBytes = 4096

// ID identifies one call, or one attempt of it, over the whole fleet.
type ID [16]byte

// EndpointLoss tells of endpoints that broke down while they ran a call.
type EndpointLoss struct {
	// Fingerprint identifies the call's content.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Count is the number of endpoints.
	Count uint8 `cbor:"2,keyasint"`
}

// Meta describes a call to the node that receives it.
type Meta struct {
	// Attempt identifies this attempt. The answer repeats it.
	Attempt ID `cbor:"1,keyasint"`
	// Root identifies the request at the edge.
	Root ID `cbor:"2,keyasint"`
	// Priority is the place of the root request in the order of importance.
	Priority priority.Priority `cbor:"3,keyasint"`
	// RemainingMs is the time left for the answer, in milliseconds.
	RemainingMs uint32 `cbor:"4,keyasint"`
	// RetryBudget is the part of the root's retry budget handed to this call.
	RetryBudget uint16 `cbor:"5,keyasint"`
	// Method is the HTTP method for the endpoint.
	Method string `cbor:"6,keyasint"`
	// Fingerprint identifies the request's content.
	Fingerprint uint64 `cbor:"7,keyasint"`
	// Depth counts the calls between the root and this one.
	Depth uint8 `cbor:"8,keyasint"`
	// Clock is the sender's logical time.
	Clock uint64 `cbor:"9,keyasint"`
	// Correlation is the ID under which events of the request are logged.
	Correlation string `cbor:"10,keyasint"`
	// Service names the service that the call is for.
	Service string `cbor:"11,keyasint"`
	// Token is the idempotency token of a call that goes to its home, or empty.
	Token string `cbor:"12,keyasint,omitempty"`
	// OwnKey is the caller's own idempotency key of a call that goes to its
	// home, or empty.
	OwnKey string `cbor:"13,keyasint,omitempty"`
	// ResumeIncarnation asks for the outcome of an attempt whose answer was lost. It never
	// starts the call. It holds the incarnation of the process that got the
	// attempt; 0 stands for an ordinary call.
	ResumeIncarnation uint64 `cbor:"14,keyasint,omitempty"`
	// EndpointLosses are the endpoints lost to calls of the same root request, as far as
	// the sender knows.
	EndpointLosses []EndpointLoss `cbor:"16,keyasint,omitempty"`
	// Fence asks the home named by Token to make sure that the request is never
	// started any more, and to say whether it was.
	Fence bool `cbor:"15,keyasint,omitempty"`
	// PossibleCrash says that an earlier attempt of the root request may have broken an
	// endpoint. Each call below needs a grant of the origin before it runs.
	PossibleCrash bool `cbor:"17,keyasint,omitempty"`
	// Origin is the VM of the node where the root request entered.
	Origin string `cbor:"18,keyasint,omitempty"`
	// OriginIncarnation is the run of the origin's process.
	OriginIncarnation uint64 `cbor:"19,keyasint,omitempty"`
}

// Reply describes an answer to the node that made the call.
type Reply struct {
	// Attempt repeats the attempt of the Meta.
	Attempt ID `cbor:"1,keyasint"`
	// RetryBudget is the unspent part of the budget.
	RetryBudget uint16 `cbor:"2,keyasint"`
	// ShedThreshold is the priority from which on the node sheds.
	ShedThreshold priority.Priority `cbor:"3,keyasint"`
	// Headroom is the number of further calls that the node would run at once.
	Headroom uint16 `cbor:"4,keyasint"`
	// Leaving says that the node takes no new work.
	Leaving bool `cbor:"5,keyasint"`
	// Clock is the sender's logical time.
	Clock uint64 `cbor:"6,keyasint"`
	// EndpointLosses are the endpoints lost to calls of the same root request, as far as
	// the node knows.
	EndpointLosses []EndpointLoss `cbor:"7,keyasint,omitempty"`
	// Status is the HTTP status of the endpoint's answer. 0 means that the node
	// answered in place of the endpoint; then Kind says why.
	Status uint16 `cbor:"8,keyasint"`
	// Kind is the stable name of the kind of a problem.
	Kind string `cbor:"9,keyasint,omitempty"`
	// Ran is the fate of a call that ended in a problem: "no", "yes", "unknown".
	Ran string `cbor:"10,keyasint,omitempty"`
	// Detail explains a problem.
	Detail string `cbor:"11,keyasint,omitempty"`
	// Incarnation is the run of the answering node's process.
	Incarnation uint64 `cbor:"13,keyasint"`
	// DeclaredLength is the Content-Length of an answer to HEAD.
	DeclaredLength int64 `cbor:"12,keyasint,omitempty"`
	// PossibleCrash says that a call below may have broken an endpoint of which nobody
	// can tell.
	PossibleCrash bool `cbor:"14,keyasint,omitempty"`
}

// Remaining returns the time left for the answer.
func (m *Meta) Remaining() time.Duration {
	return time.Duration(m.RemainingMs) * time.Millisecond
}

// SetMeta writes m into h.
func SetMeta(h http.Header, m *Meta) error {
	return set(h, HeaderMeta, m)
}

// GetMeta reads a Meta from h.
func GetMeta(h http.Header) (*Meta, error) {
	m := &Meta{}
	if err := get(h, HeaderMeta, m); err != nil {
		return nil, err
	}
	return m, nil
}

// SetReply writes r into h.
func SetReply(h http.Header, r *Reply) error {
	return set(h, HeaderReply, r)
}

// GetReply reads a Reply from h.
func GetReply(h http.Header) (*Reply, error) {
	r := &Reply{}
	if err := get(h, HeaderReply, r); err != nil {
		return nil, err
	}
	return r, nil
}

func set(h http.Header, name string, value any) error {
	data, err := cbor.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode %s", name)
	}
	h.Set(name, base64.RawURLEncoding.EncodeToString(data))
	return nil
}

func get(h http.Header, name string, into any) error {
	text := h.Get(name)
	if text == "" || len(text) > maxEncodedBytes {
		return errors.Errorf("%s: want 1 to %d bytes, have %d", name, maxEncodedBytes, len(text))
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return errors.Wrapf(err, "decode %s", name)
	}
	if err := cbor.Unmarshal(data, into); err != nil {
		return errors.Wrapf(err, "decode %s", name)
	}
	return nil
}
