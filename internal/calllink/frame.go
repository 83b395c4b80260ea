// Package calllink carries calls between nodes: many side by side on one
// WebSocket, as CBOR. A link tells for each call whether it was never sent,
// answered, or lost on the way.
package calllink

import (
	"net/http"

	"github.com/galenacart/galenacart/decision/quarantine"
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
	kindAskState
	kindState
	kindLosses
)

// frame is one unit on a link. Several travel in one WebSocket message.
type frame struct {
	Kind  kind
	ID    uint64
	Call  *Call
	Reply *Reply
	State []byte // of a kindState, or the losses of a kindLosses
}

// Call is a request for the endpoint beside the node that receives it.
type Call struct {
	// Service is the service that the request is for.
	Service string
	// Endpoint is the run of the endpoint that is to run it.
	Endpoint string
	// Route is the name of the request's route.
	Route string
	// CallerService is the service of the VM where the request began.
	CallerService string
	// Rank is the request's class in the order of importance; 0 is the highest.
	Rank uint8
	// Idempotent says that running the request twice does no harm.
	Idempotent bool
	// RemainingMs is the time left for the answer, in milliseconds.
	RemainingMs uint32
	// Method, Target, Host, Fields and Body are the request.
	Method string
	Target string
	Host   string
	Fields []string
	Body   []byte
}

// Request returns the request that the call carries.
func (c *Call) Request() *message.Request {
	return &message.Request{Method: c.Method, Target: c.Target, Host: c.Host, Header: header(c.Fields), Body: c.Body}
}

// SetRequest makes the call carry a request.
func (c *Call) SetRequest(r *message.Request) {
	c.Method, c.Target, c.Host, c.Body = r.Method, r.Target, r.Host, r.Body
	c.Fields = fields(r.Header)
}

// Refusal says why a call was not run.
type Refusal uint8

// The refusals.
const (
	// NotRefused means that the call was not refused.
	NotRefused Refusal = iota
	// RefusedLeaving means that the endpoint or its node takes no new work.
	RefusedLeaving
	// RefusedNoCapacity means that the endpoint could not run the call in its time.
	RefusedNoCapacity
	// RefusedOverloaded means that the chain below the endpoint is overloaded.
	RefusedOverloaded
	// RefusedUnreachable means that the endpoint can't be reached.
	RefusedUnreachable
	// RefusedByEndpoint means that the endpoint itself refused.
	RefusedByEndpoint
	// RefusedCircuitOpen means that the endpoint breaks off all calls. Its node takes few,
	// to find out when that is over.
	RefusedCircuitOpen
	// RefusedQuarantined means that endpoints crashed while they ran this request before.
	RefusedQuarantined
)

// Reply is the outcome of a call.
type Reply struct {
	// Status, Fields and Body are the endpoint's answer. Status is 0 without one.
	Status int
	Fields []string
	Body   []byte
	// Refused says why the call was not run and never will be.
	Refused Refusal
	// Detail explains a call without an answer.
	Detail string
	// Load is the state of the node that replies.
	Load Load
	// Crashes are the crashes of endpoints that the node knows of the request. They
	// travel ahead of the reply.
	Crashes []quarantine.Loss
}

// Load is what a node says of itself with every reply.
type Load struct {
	// Outstanding counts the calls that the endpoint runs or that wait for it.
	Outstanding int
	// Limit is the number of calls that the endpoint may run at once.
	Limit int
	// PressurePermille is the highest pressure along the chain of the call's route, in
	// thousandths.
	PressurePermille int
	// InternalOnly says that only endpoints make calls of the route.
	InternalOnly bool
	// CallsDownstream says that the endpoint makes calls of its own for the call's route.
	CallsDownstream bool
	// Leaving says that the endpoint takes no new work.
	Leaving bool
	// RefusalPermille is the share of the calls that the endpoint itself refuses, in
	// thousandths.
	RefusalPermille int
	// TypicalMs is the time that a call of the route usually takes at the endpoint,
	// in milliseconds.
	TypicalMs int
}

// Answer returns the endpoint's answer, or nil.
func (r *Reply) Answer() *message.Response {
	if r.Status == 0 {
		return nil
	}
	return &message.Response{Status: r.Status, Header: header(r.Fields), Body: r.Body}
}

// SetAnswer makes the reply carry an answer.
func (r *Reply) SetAnswer(a *message.Response) {
	r.Status, r.Body = a.Status, a.Body
	r.Fields = fields(a.Header)
}

// fields flattens headers into names and values in turn.
func fields(h http.Header) []string {
	out := make([]string, 0, 2*len(h))
	for name, values := range h {
		for _, value := range values {
			out = append(out, name, value)
		}
	}
	return out
}

func header(fields []string) http.Header {
	h := make(http.Header, len(fields)/2)
	for i := 0; i+1 < len(fields); i += 2 {
		h[fields[i]] = append(h[fields[i]], fields[i+1])
	}
	return h
}
