// Package answer defines the response bodies of stand-in endpoints. A caller can
// verify from the body that a response is complete and belongs to its request.
package answer

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Response is the body of a successful call. It contains the responses of all
// child calls.
type Response struct {
	// Request repeats the caller's X-Request-Id.
	Request string `json:"request"`
	// Service is the name of the responding service.
	Service string `json:"service"`
	// VM is the name of the responding VM.
	VM string `json:"vm"`
	// Method is the HTTP method of the call.
	Method string `json:"method"`
	// Path is the path of the call, without the query string.
	Path string `json:"path"`
	// BodyHash is the xxHash64 of the request body, in hexadecimal.
	BodyHash string `json:"bodyHash"`
	// Calls is the expected number of child responses.
	Calls int `json:"calls"`
	// Children holds the complete responses of the child calls, in call order.
	Children []Response `json:"children"`
	// Padding enlarges the response to its configured size.
	Padding string `json:"padding,omitempty"`
}

// ErrorResponse is the body of a failed call.
type ErrorResponse struct {
	// Error describes the failure.
	Error string `json:"error"`
	// Child is the method and path of the failed child call; empty if no child
	// call failed.
	Child string `json:"child,omitempty"`
	// Status is the HTTP status of the child's last response; 0 for none.
	Status int `json:"status,omitempty"`
	// Detail is the cause of the child call's failure.
	Detail string `json:"detail,omitempty"`
}

// Check returns an error unless r is the complete response to request.
func (r *Response) Check(request string) error {
	if r.Request != request {
		return errors.Errorf("%s %s from %s: answer to request %q, want %q", r.Method, r.Path, r.VM, r.Request, request)
	}
	if len(r.Children) != r.Calls {
		return errors.Errorf("%s %s from %s: %d child answers, want %d", r.Method, r.Path, r.VM, len(r.Children), r.Calls)
	}
	for i := range r.Children {
		if err := r.Children[i].Check(request); err != nil {
			return err
		}
	}
	return nil
}

// Decode decodes a response body and checks that it is the complete response to
// request.
func Decode(body []byte, request string) (*Response, error) {
	r := &Response{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, errors.Wrap(err, "decode answer")
	}
	return r, r.Check(request)
}
