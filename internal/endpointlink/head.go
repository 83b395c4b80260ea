package endpointlink

import (
	"fmt"
	"io"
	"math"
)

// DefaultHeadBytesMax bounds the head of an answer where the settings name no bound: what
// common proxies allow.
const DefaultHeadBytesMax = 64 << 10

// TooLargeError means that the endpoint sent more than a bound allows. Whether it ran the
// request is unknown.
type TooLargeError struct {
	// Part is "head" for all that comes ahead of the body of an answer, such as
	// informational answers, or "body".
	Part string
	// Max is the bound in bytes.
	Max int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the %s of the endpoint's answer has more than %d bytes", e.Part, e.Max)
}

// headReader reads from an endpoint. It ends when more comes than a head may have.
type headReader struct {
	from io.Reader
	max  int
	left int // of a head; a body has a bound of its own
}

// begin expects the head of an answer.
func (r *headReader) begin() {
	r.left = r.max
}

// pass lets the bytes of a body pass. The returned function expects heads again, of
// which no more may come than before.
func (r *headReader) pass() (again func()) {
	left := r.left
	r.left = math.MaxInt
	return func() { r.left = left }
}

func (r *headReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, &TooLargeError{Part: "head", Max: r.max}
	}
	n, err := r.from.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
