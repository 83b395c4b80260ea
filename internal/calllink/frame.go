// Package calllink carries calls between nodes: many concurrently on one WebSocket, encoded
// as CBOR. For each call a link reports whether it was never sent, was answered, or was
// sent without a reply.
package calllink

import (
	"net/http"

	"github.com/galenacart/galenacart/decision/quarantine"
	"github.com/galenacart/galenacart/decision/retry"
	"github.com/galenacart/galenacart/internal/memory"
	"github.com/galenacart/galenacart/internal/message"
)

// kind is the kind of a frame.
type kind uint8

const (
	kindCall kind = iota + 1
	kindReply
	kindCancel
	kindPing
	kindPong
	kindStateRequest
	kindState
	kindCrashes
	kindCrashRequest
	kindWithdraw // nodes of earlier versions ignore it
	kindBody     // sent only to nodes that negotiated subprotocolPieces
)

// frame is one protocol unit of a link. One WebSocket message can contain several.
type frame struct {
	Kind  kind
	ID    uint64
	Call  *Call
	Reply *Reply
	// State is the state of a kindState, the crashes of a kindCrashes, or a piece of the body of the
	// call or reply with the same ID, which follows.
	State []byte

	begun   bool         // pieces of the body were sent
	unsent  message.Body // the part of the body that was not sent in pieces
	release func()       // called once the frame was written or dropped; may be nil
}

// inlineBodyBytes is the size of the largest body that is part of its frame.
const inlineBodyBytes = 32 << 10

// body returns the body of the frame's call or reply.
func (f *frame) body() message.Body {
	switch {
	case f.Call != nil:
		return f.Call.Body
	case f.Reply != nil:
		return f.Reply.Body
	default:
		return nil
	}
}

// cutPiece returns the next piece of a large body as a frame, or nil if the remainder is sent with
// the frame itself.
func (f *frame) cutPiece() *frame {
	if !f.begun {
		f.unsent = f.body()
	}
	if f.unsent.Len() <= inlineBodyBytes {
		return nil
	}
	f.begun = true
	piece := &frame{Kind: kindBody, ID: f.ID}
	piece.State, f.unsent = f.unsent.Cut(message.PieceBytes)
	return piece
}

// inlineBody returns the part of the body that is sent with the frame itself.
func (f *frame) inlineBody() []byte {
	if f.begun {
		return f.unsent.Bytes()
	}
	return f.body().Bytes()
}

// finish releases what the frame holds.
func (f *frame) finish() {
	if f.release != nil {
		f.release()
		f.release = nil
	}
}

// Call is a request to the local endpoint of the receiving node.
type Call struct {
	// Service is the service that the request is for.
	Service string
	// Endpoint identifies the endpoint instance that is to run the request.
	Endpoint string
	// Route is the name of the request's route.
	Route string
	// CallerService is the service of the VM where the request originated.
	CallerService string
	// Rank is the priority of the request's class; 0 is the highest.
	Rank uint8
	// Idempotent is true if the request may safely run twice.
	Idempotent bool
	// RemainingMs is the time left for the response, in milliseconds.
	RemainingMs uint32
	// Method, Target, Host, Fields and Body are the request.
	Method string
	Target string
	Host   string
	Fields []string
	Body   message.Body
	// Memory is what the request and its answer are charged to. It may be nil, and is not sent.
	Memory *memory.Lease
	// Withdrawn is closed when the call should not start any more. A call that already runs
	// goes on. It may be nil, and is signalled by a frame of its own.
	Withdrawn <-chan struct{}
}

// IsWithdrawn reports whether the call should not start any more.
func (c *Call) IsWithdrawn() bool {
	select {
	case <-c.Withdrawn:
		return true
	default:
		return false
	}
}

// Request returns the request that the call carries.
func (c *Call) Request() *message.Request {
	return &message.Request{Method: c.Method, Target: c.Target, Host: c.Host, Header: parseFields(c.Fields), Body: c.Body, Memory: c.Memory}
}

// SetRequest stores a request in the call.
func (c *Call) SetRequest(r *message.Request) {
	c.Method, c.Target, c.Host, c.Body, c.Memory = r.Method, r.Target, r.Host, r.Body, r.Memory
	c.Fields = flattenHeader(r.Header)
}

// size returns the memory that the call takes, in bytes.
func (c *Call) size() int {
	headBytes := len(c.Target)
	for _, text := range c.Fields {
		headBytes += len(text)
	}
	return message.HeadMemory(len(c.Fields)/2, headBytes) + c.Body.Len()
}

// Refusal is the reason why a call was not run.
type Refusal uint8

// The refusals.
const (
	// NotRefused means that the call was not refused.
	NotRefused Refusal = iota
	// RefusedLeaving means that the endpoint or its node is shutting down and accepts no new calls.
	RefusedLeaving
	// RefusedNoCapacity means that the endpoint had no capacity to run the call before its deadline.
	RefusedNoCapacity
	// RefusedOverloaded means that the endpoint or a service downstream of it is overloaded.
	RefusedOverloaded
	// RefusedUnreachable means that the endpoint can't be reached.
	RefusedUnreachable
	// RefusedByEndpoint means that the endpoint itself refused the call.
	RefusedByEndpoint
	// RefusedCircuitOpen means that the endpoint fails all calls. Its node passes only a few
	// on, to detect the recovery.
	RefusedCircuitOpen
	// RefusedQuarantined means that endpoints crashed earlier while running this request.
	RefusedQuarantined
	// RefusedStarting means that a node has just started and has not yet learned what the
	// reply should contain.
	RefusedStarting
	// RefusedMisdirected means that another endpoint, which has the address now, got the call
	// and refused it.
	RefusedMisdirected
	// RefusedWithdrawn means that the calling node has taken the call back before it started.
	RefusedWithdrawn
	// RefusedNoMemory means that the endpoint's node has no memory for the call.
	RefusedNoMemory
)

// Reply is the outcome of a call.
type Reply struct {
	// Status, Fields and Body are the endpoint's response. Status is 0 if there is none.
	Status int
	Fields []string
	Body   message.Body
	// Refused is the reason why the call was not run and will not be run.
	Refused Refusal
	// Detail explains a call without a response.
	Detail string
	// Load is the load of the replying node.
	Load Load
	// Crashes are the endpoint crashes that the node has recorded for the request. They are
	// sent before the reply.
	Crashes []quarantine.Loss
}

// Load describes the load of a node. It is part of every reply.
type Load struct {
	// Outstanding is the number of calls that the endpoint runs or that are queued for it.
	Outstanding int
	// Limit is the number of calls that the endpoint may run concurrently.
	Limit int
	// PressurePermille is the highest pressure of the endpoint and the services downstream of
	// it on the call's route, in thousandths.
	PressurePermille int
	// InternalOnly is true if only endpoints call the route.
	InternalOnly bool
	// CallsDownstream is true if the endpoint itself makes calls for the call's route.
	CallsDownstream bool
	// Depth is the number of levels of calls below the route.
	Depth retry.Depth
	// Leaving is true if the endpoint accepts no new calls.
	Leaving bool
	// RefusalPermille is the share of the calls that the endpoint itself refuses, in
	// thousandths.
	RefusalPermille int
	// TypicalMs is the typical time that the endpoint takes for a call of the route, in
	// milliseconds.
	TypicalMs int
}

// Answer returns the endpoint's response, or nil.
func (r *Reply) Answer() *message.Response {
	if r.Status == 0 {
		return nil
	}
	return &message.Response{Status: r.Status, Header: parseFields(r.Fields), Body: r.Body}
}

// SetAnswer stores a response in the reply.
func (r *Reply) SetAnswer(a *message.Response) {
	r.Status, r.Body = a.Status, a.Body
	r.Fields = flattenHeader(a.Header)
}

// flattenHeader returns the header as a list of alternating names and values.
func flattenHeader(h http.Header) []string {
	out := make([]string, 0, 2*len(h))
	for name, values := range h {
		for _, value := range values {
			out = append(out, name, value)
		}
	}
	return out
}

func parseFields(fields []string) http.Header {
	h := make(http.Header, len(fields)/2)
	for i := 0; i+1 < len(fields); i += 2 {
		h[fields[i]] = append(h[fields[i]], fields[i+1])
	}
	return h
}
