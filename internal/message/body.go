package message

import (
	"bytes"
	"io"
	"slices"

	"github.com/pkg/errors"
)

const (
	// firstPieceBytes is the size of the first piece of a body that is read. Most bodies fit.
	firstPieceBytes = 4 << 10
	// PieceBytes is the size of the largest piece of a body that is read. Pieces double up to it,
	// so that what is allocated stays in proportion to what has arrived.
	PieceBytes = 64 << 10
	// UnknownLength is the length of a body that is not announced.
	UnknownLength = -1
)

// ErrNoMemory means that the memory for requests and answers does not suffice for a body.
var ErrNoMemory = errors.New("no memory for the body")

// ErrBodyTooLarge means that a body is larger than its limit.
var ErrBodyTooLarge = errors.New("the body is larger than the limit")

// Body is a body in pieces. A large body is never copied into one buffer.
type Body [][]byte

// NewBody returns a body of one piece.
func NewBody(data []byte) Body {
	if len(data) == 0 {
		return nil
	}
	return Body{data}
}

// Len returns the size in bytes.
func (b Body) Len() int {
	size := 0
	for _, piece := range b {
		size += len(piece)
	}
	return size
}

// Bytes returns the body in one piece. It copies a body of several pieces.
func (b Body) Bytes() []byte {
	if len(b) == 1 {
		return b[0]
	}
	return bytes.Join(b, nil)
}

// String returns the body as text.
func (b Body) String() string {
	return string(b.Bytes())
}

// WriteTo writes all pieces.
func (b Body) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for _, piece := range b {
		n, err := w.Write(piece)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Cut returns the first piece, of at most n bytes, and the remainder.
func (b Body) Cut(n int) (piece []byte, rest Body) {
	if len(b[0]) <= n {
		return b[0], b[1:]
	}
	rest = slices.Clone(b)
	rest[0] = b[0][n:]
	return b[0][:n], rest
}

// ReadBody reads a body of an announced length, or until io.EOF if length is UnknownLength. A body
// that ends early is io.ErrUnexpectedEOF. grow reports whether more memory may be allocated for it.
func ReadBody(r io.Reader, length, limit int64, grow func(n int) bool) (Body, error) {
	if length > limit {
		return nil, ErrBodyTooLarge
	}
	var body Body
	var size int64
	for pieceBytes := firstPieceBytes; length == UnknownLength || size < length; pieceBytes = min(2*pieceBytes, PieceBytes) {
		next := int64(pieceBytes)
		if length != UnknownLength {
			next = min(next, length-size)
		}
		if !grow(int(next)) {
			return nil, ErrNoMemory
		}
		piece := make([]byte, next)
		n, err := fill(piece, r)
		size += int64(n)
		if size > limit {
			return nil, ErrBodyTooLarge
		}
		if n > 0 {
			body = append(body, piece[:n])
		}
		switch {
		case err == nil, size == length:
		case errors.Is(err, io.EOF) && length == UnknownLength:
			return body, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
	return body, nil
}

// fill reads until piece is full or an error occurs, which is io.EOF only at the end of r.
func fill(piece []byte, r io.Reader) (n int, err error) {
	for n < len(piece) && err == nil {
		var more int
		more, err = r.Read(piece[n:])
		n += more
	}
	if n == len(piece) && errors.Is(err, io.EOF) {
		return n, nil // the next read returns it again
	}
	return n, err
}

// The memory that a request takes in this process besides its body.
const (
	// requestBytes is what each request takes: its goroutines, timers and records.
	requestBytes = 8 << 10
	// headerLineBytes is what each header takes besides its text: parsed, encoded for another
	// node, and decoded again for the endpoint.
	headerLineBytes = 512
	// headerCopies is the number of copies of a head's text.
	headerCopies = 3
)

// HeadMemory returns the memory that a request takes besides its body, from the lines and bytes
// of its head.
func HeadMemory(lines, headBytes int) int {
	return requestBytes + lines*headerLineBytes + headBytes*headerCopies
}
