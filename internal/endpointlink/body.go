package endpointlink

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/membudget"
)

const (
	// blockBytes is the unit in which bodies are read.
	blockBytes = 32 << 10
	// reserveBytes is what each body may use outside the budget. An endpoint's slots limit
	// the bodies that are read concurrently: 80 of them use 5 MB.
	reserveBytes = 2 * blockBytes
	// DefaultBodyBytesMax limits the total size of the bodies that are being read, unless
	// configured otherwise. One response may have 64 MB.
	DefaultBodyBytesMax = 128 << 20
)

// bodyReader reads response bodies within one memory budget for all connections.
type bodyReader struct {
	mu         sync.Mutex
	budget     *membudget.Budget
	freeBlocks []*[blockBytes]byte // for reuse
}

func newBodyReader(budgetBytes int) *bodyReader {
	return &bodyReader{budget: membudget.New(budgetBytes, reserveBytes)}
}

// read reads the whole body of a response. Bytes beyond the first block and the reserve
// are charged to the budget.
func (b *bodyReader) read(r *http.Response) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	first := make([]byte, firstReadBytes(r))
	n, err := fill(first, r.Body)
	switch {
	case err == nil:
		return b.readRemainder(r, first)
	case errors.Is(err, io.EOF):
		return first[:n], nil
	default:
		return nil, err
	}
}

// readRemainder reads the part of a long body that follows first.
func (b *bodyReader) readRemainder(r *http.Response, first []byte) ([]byte, error) {
	var blocks []*[blockBytes]byte
	defer func() { b.releaseBlocks(blocks) }()
	for {
		block := b.acquireBlock(len(blocks))
		if block == nil {
			return nil, &TooLargeError{Part: "body", Max: len(first) + len(blocks)*blockBytes}
		}
		blocks = append(blocks, block)
		last, err := fill(block[:], r.Body)
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return joinBlocks(first, blocks, last), nil
		default:
			return nil, err
		}
	}
}

// firstReadBytes returns a buffer size that holds most bodies.
func firstReadBytes(r *http.Response) int {
	if r.ContentLength > 0 && r.ContentLength < blockBytes {
		return int(r.ContentLength) + 1 // leaves space to read io.EOF in the same call
	}
	return readBufferBytes
}

// fill reads until block is full or an error occurs, which is io.EOF at the end.
func fill(block []byte, from io.Reader) (n int, err error) {
	for n < len(block) && err == nil {
		var more int
		more, err = from.Read(block[n:])
		n += more
	}
	return n, err
}

// joinBlocks concatenates a body. last is the number of bytes in the last block.
func joinBlocks(first []byte, blocks []*[blockBytes]byte, last int) []byte {
	end := len(blocks) - 1
	body := make([]byte, 0, len(first)+end*blockBytes+last)
	body = append(body, first...)
	for _, block := range blocks[:end] {
		body = append(body, block[:]...)
	}
	return append(body, blocks[end][:last]...)
}

// acquireBlock returns one more block for a body that already holds some, or nil if the
// budget is exhausted.
func (b *bodyReader) acquireBlock(held int) *[blockBytes]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.budget.TryGrow(held*blockBytes, blockBytes) {
		return nil
	}
	last := len(b.freeBlocks) - 1
	if last < 0 {
		return new([blockBytes]byte)
	}
	block := b.freeBlocks[last]
	b.freeBlocks = b.freeBlocks[:last]
	return block
}

// releaseBlocks returns blocks to the free list. Reusing them keeps the memory of earlier
// and current bodies together within the budget.
func (b *bodyReader) releaseBlocks(blocks []*[blockBytes]byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Release(len(blocks) * blockBytes)
	b.freeBlocks = append(b.freeBlocks, blocks...)
}
