// Package call defines the headers and metadata that accompany a call between
// nodes.
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
	// HeaderCall carries the ID of a call to the endpoint that runs it.
	HeaderCall = "Galenacart-Call"
	// HeaderParent is set by an endpoint on its downstream calls: the ID of the
	// call for which it makes them.
	HeaderParent = "Galenacart-Parent"
	// HeaderTimeout carries the remaining time, in milliseconds.
	HeaderTimeout = "Galenacart-Timeout-Ms"
	// HeaderIdempotencyKey carries an idempotency token or a caller's own key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAnswerHash is the trailer with the hash of a complete answer between
	// nodes.
	HeaderAnswerHash = "Galenacart-Sum"
	// HeaderToken carries a new idempotency token to a caller.
	HeaderToken = "Galenacart-Token"
	// HeaderCorrelation carries the ID under which events are logged to a caller.
	HeaderCorrelation = "Galenacart-Correlation"
	// HeaderPrefix is common to every header that only nodes set or read.
	HeaderPrefix = "Galenacart-"
)

// maxEncodedBytes bounds an encoded Meta or Reply.
const maxEncodedBytes = 4096

// ID identifies one call, or one attempt of it, uniquely in the fleet.
type ID [16]byte

// EndpointLoss counts endpoints that crashed while they ran a call.
type EndpointLoss struct {
	// Fingerprint identifies the call by its content.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Count is the number of endpoints.
	Count uint8 `cbor:"2,keyasint"`
}

// Meta describes a call to the node that receives it.
type Meta struct {
	// Attempt identifies this attempt. The reply repeats it.
	Attempt ID `cbor:"1,keyasint"`
	// Root identifies the request at the edge.
	Root ID `cbor:"2,keyasint"`
	// Priority is the priority of the root request.
	Priority priority.Priority `cbor:"3,keyasint"`
	// RemainingMs is the time left for the answer, in milliseconds.
	RemainingMs uint32 `cbor:"4,keyasint"`
	// RetryBudget is the part of the root's retry budget that this call may spend.
	RetryBudget uint16 `cbor:"5,keyasint"`
	// Method is the HTTP method for the endpoint.
	Method string `cbor:"6,keyasint"`
	// Fingerprint identifies the request by its content.
	Fingerprint uint64 `cbor:"7,keyasint"`
	// Depth counts the calls between the root and this one.
	Depth uint8 `cbor:"8,keyasint"`
	// Clock is the sender's logical time.
	Clock uint64 `cbor:"9,keyasint"`
	// Correlation is the ID under which events of the request are logged.
	Correlation string `cbor:"10,keyasint"`
	// Service is the service that is called.
	Service string `cbor:"11,keyasint"`
	// Token is the idempotency token of a call that is sent to its home, or empty.
	Token string `cbor:"12,keyasint,omitempty"`
	// OwnKey is the caller's own idempotency key of a call that is sent to its
	// home, or empty.
	OwnKey string `cbor:"13,keyasint,omitempty"`
	// ResumeIncarnation requests the outcome of an attempt whose answer was lost,
	// without starting the call. It is the incarnation of the process that received
	// the attempt; 0 means an ordinary call.
	ResumeIncarnation uint64 `cbor:"14,keyasint,omitempty"`
	// EndpointLosses are the endpoint crashes by calls of the same root request
	// that the sender knows.
	EndpointLosses []EndpointLoss `cbor:"16,keyasint,omitempty"`
	// Fence requests that the home named by Token never starts the request from now
	// on and reports whether it has started it.
	Fence bool `cbor:"15,keyasint,omitempty"`
	// PossibleCrash is set if an earlier attempt of the root request may have crashed
	// an endpoint. Each downstream call then needs a grant of the origin before it
	// runs.
	PossibleCrash bool `cbor:"17,keyasint,omitempty"`
	// Origin is the VM of the node that received the root request.
	Origin string `cbor:"18,keyasint,omitempty"`
	// OriginIncarnation identifies the run of the origin's process.
	OriginIncarnation uint64 `cbor:"19,keyasint,omitempty"`
}

// Reply describes an answer to the node that sent the call.
type Reply struct {
	// Attempt is the attempt of the Meta.
	Attempt ID `cbor:"1,keyasint"`
	// RetryBudget is the part of the Meta's retry budget that was not spent.
	RetryBudget uint16 `cbor:"2,keyasint"`
	// ShedThreshold is the priority from which on the node sheds calls.
	ShedThreshold priority.Priority `cbor:"3,keyasint"`
	// Headroom is the number of further calls that the node could start immediately.
	Headroom uint16 `cbor:"4,keyasint"`
	// Leaving is set if the node accepts no new calls.
	Leaving bool `cbor:"5,keyasint"`
	// Clock is the sender's logical time.
	Clock uint64 `cbor:"6,keyasint"`
	// EndpointLosses are the endpoint crashes by calls of the same root request
	// that the node knows.
	EndpointLosses []EndpointLoss `cbor:"7,keyasint,omitempty"`
	// Status is the HTTP status of the endpoint's answer. 0 means that the node
	// answered instead of the endpoint, for the reason in Kind.
	Status uint16 `cbor:"8,keyasint"`
	// Kind is the stable name of a problem's kind.
	Kind string `cbor:"9,keyasint,omitempty"`
	// Ran says whether a call that ended in a problem was executed: "no", "yes" or
	// "unknown".
	Ran string `cbor:"10,keyasint,omitempty"`
	// Detail explains a problem.
	Detail string `cbor:"11,keyasint,omitempty"`
	// Incarnation identifies the run of the answering node's process.
	Incarnation uint64 `cbor:"13,keyasint"`
	// DeclaredLength is the Content-Length of an answer to HEAD.
	DeclaredLength int64 `cbor:"12,keyasint,omitempty"`
	// PossibleCrash is set if a downstream call may have crashed an endpoint and the
	// crash can't be confirmed.
	PossibleCrash bool `cbor:"14,keyasint,omitempty"`
}

// Remaining returns the time left for the answer.
func (m *Meta) Remaining() time.Duration {
	return time.Duration(m.RemainingMs) * time.Millisecond
}

// SetMeta writes m into h.
func SetMeta(h http.Header, m *Meta) error {
	return setHeader(h, HeaderMeta, m)
}

// GetMeta reads a Meta from h.
func GetMeta(h http.Header) (*Meta, error) {
	m := &Meta{}
	if err := getHeader(h, HeaderMeta, m); err != nil {
		return nil, err
	}
	return m, nil
}

// SetReply writes r into h.
func SetReply(h http.Header, r *Reply) error {
	return setHeader(h, HeaderReply, r)
}

// GetReply reads a Reply from h.
func GetReply(h http.Header) (*Reply, error) {
	r := &Reply{}
	if err := getHeader(h, HeaderReply, r); err != nil {
		return nil, err
	}
	return r, nil
}

func setHeader(h http.Header, name string, value any) error {
	data, err := cbor.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode %s", name)
	}
	h.Set(name, base64.RawURLEncoding.EncodeToString(data))
	return nil
}

func getHeader(h http.Header, name string, into any) error {
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
