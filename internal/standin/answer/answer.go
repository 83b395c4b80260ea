// Package answer is the body by which a stand-in endpoint proves that an answer
// is whole and belongs to the request it came for.
package answer

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Response is the body of a successful call.
type Response struct {
	// Request repeats the caller's X-Request-Id.
	Request string `json:"request"`
	// Service is the service that answered.
	Service string `json:"service"`
	// VM is the VM that answered.
	VM string `json:"vm"`
	// Method is the HTTP method of the call.
	Method string `json:"method"`
	// Path is the path of the call, without its query.
	Path string `json:"path"`
	// BodyHash is the xxHash64 of the request's body, in hexadecimal digits.
	BodyHash string `json:"bodyHash"`
	// Calls is the number of child calls that the answer is made of.
	Calls int `json:"calls"`
	// Children holds the whole answers of the child calls, in their order.
	Children []Response `json:"children"`
	// Padding makes the answer larger.
	Padding string `json:"padding,omitempty"`
}

// ErrorResponse is the body of a call that failed.
type ErrorResponse struct {
	// Error says what failed.
	Error string `json:"error"`
	// Child names the child call that failed, as method and path; else empty.
	Child string `json:"child,omitempty"`
	// Status is the HTTP status of the child's last answer; 0 for none.
	Status int `json:"status,omitempty"`
	// Detail is the cause of the child's failure.
	Detail string `json:"detail,omitempty"`
}

// Check reports an error unless a is the whole answer to request.
func (a *Response) Check(request string) error {
	if a.Request != request {
		return errors.Errorf("%s %s from %s: answer to request %q, want %q", a.Method, a.Path, a.VM, a.Request, request)
	}
	if len(a.Children) != a.Calls {
		return errors.Errorf("%s %s from %s: %d child answers, want %d", a.Method, a.Path, a.VM, len(a.Children), a.Calls)
	}
	for i := range a.Children {
		if err := a.Children[i].Check(request); err != nil {
			return err
		}
	}
	return nil
}

// Decode reads an answer and checks that it is the whole answer to request.
func Decode(body []byte, request string) (*Response, error) {
	a := &Response{}
	if err := json.Unmarshal(body, a); err != nil {
		return nil, errors.Wrap(err, "decode answer")
	}
	return a, a.Check(request)
}
