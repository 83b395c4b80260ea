package endpointlink

import (
	"fmt"
	"io"
	"math"
)

// DefaultHeadBytesMax limits the head of a response if the settings contain no limit. Common
// proxies use the same value.
const DefaultHeadBytesMax = 64 << 10

// TooLargeError means that the endpoint sent more than a limit allows. Whether it ran the
// request is unknown.
type TooLargeError struct {
	// Part is "head" for everything that precedes the body of a response, including
	// informational responses, or "body".
	Part string
	// Max is the limit in bytes.
	Max int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the %s of the endpoint's answer has more than %d bytes", e.Part, e.Max)
}

// headReader reads from an endpoint. It fails when a head exceeds its size limit.
type headReader struct {
	source    io.Reader
	max       int
	remaining int // bytes of the head; bodies have a separate limit
}

// beginHead starts the size limit for the head of a response.
func (r *headReader) beginHead() {
	r.remaining = r.max
}

// beginBody suspends the limit while a body is read. The returned function restores the
// number of head bytes that remained before.
func (r *headReader) beginBody() (resumeHead func()) {
	remaining := r.remaining
	r.remaining = math.MaxInt
	return func() { r.remaining = remaining }
}

func (r *headReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, &TooLargeError{Part: "head", Max: r.max}
	}
	n, err := r.source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}
