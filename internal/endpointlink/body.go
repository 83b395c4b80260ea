package endpointlink

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/membudget"
)

const (
	// pieceBytes is the unit in which bodies are read.
	pieceBytes = 32 << 10
	// reserveBytes is what each body may take beside the budget. An endpoint's slots bound
	// the bodies that are read at once: 80 of them take 5 MB.
	reserveBytes = 2 * pieceBytes
	// DefaultBodyBytesMax bounds the bodies that are being read, where no bound is set: one
	// answer may have 64 MB.
	DefaultBodyBytesMax = 128 << 20
)

// bodies reads bodies of answers, within one budget for all connections.
type bodies struct {
	mu     sync.Mutex
	budget *membudget.Budget
	free   []*[pieceBytes]byte // to be used again
}

func newBodies(budgetBytes int) *bodies {
	return &bodies{budget: membudget.New(budgetBytes, reserveBytes)}
}

// read reads the body of an answer whole. What goes beyond its first piece and its
// reserve takes room in the budget.
func (b *bodies) read(r *http.Response) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	first := make([]byte, firstPiece(r))
	n, err := fill(first, r.Body)
	switch {
	case err == nil:
		return b.readOn(r, first)
	case errors.Is(err, io.EOF):
		return first[:n], nil
	default:
		return nil, err
	}
}

// readOn reads the rest of a long body.
func (b *bodies) readOn(r *http.Response, first []byte) ([]byte, error) {
	var pieces []*[pieceBytes]byte
	defer func() { b.release(pieces) }()
	for {
		piece := b.grow(len(pieces))
		if piece == nil {
			return nil, &TooLargeError{Part: "body", Max: len(first) + len(pieces)*pieceBytes}
		}
		pieces = append(pieces, piece)
		last, err := fill(piece[:], r.Body)
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return join(first, pieces, last), nil
		default:
			return nil, err
		}
	}
}

// firstPiece returns the size in which most bodies come to their end.
func firstPiece(r *http.Response) int {
	if r.ContentLength > 0 && r.ContentLength < pieceBytes {
		return int(r.ContentLength) + 1 // the end is found in the same piece
	}
	return readBufferBytes
}

// fill reads until a piece is full or an error comes, which is io.EOF at the end.
func fill(piece []byte, from io.Reader) (n int, err error) {
	for n < len(piece) && err == nil {
		var more int
		more, err = from.Read(piece[n:])
		n += more
	}
	return n, err
}

// join returns a body in one. last is the number of bytes in the last piece.
func join(first []byte, pieces []*[pieceBytes]byte, last int) []byte {
	end := len(pieces) - 1
	body := make([]byte, 0, len(first)+end*pieceBytes+last)
	body = append(body, first...)
	for _, piece := range pieces[:end] {
		body = append(body, piece[:]...)
	}
	return append(body, pieces[end][:last]...)
}

// grow returns one more piece for a reader that holds some, or nil.
func (b *bodies) grow(held int) *[pieceBytes]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.budget.TryGrow(held*pieceBytes, pieceBytes) {
		return nil
	}
	last := len(b.free) - 1
	if last < 0 {
		return new([pieceBytes]byte)
	}
	piece := b.free[last]
	b.free = b.free[:last]
	return piece
}

// release takes pieces back. They are kept, so that what was read before and what is
// read now never take more than the budget together.
func (b *bodies) release(pieces []*[pieceBytes]byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Release(len(pieces) * pieceBytes)
	b.free = append(b.free, pieces...)
}
