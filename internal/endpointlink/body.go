package endpointlink

import (
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/membudget"
	"github.com/galenacart/galenacart/internal/memory"
	"github.com/galenacart/galenacart/internal/message"
)

const (
	// reserveBytes is what each body may use outside the budget. An endpoint's slots limit
	// the bodies that are read concurrently: 80 of them use 5 MB.
	reserveBytes = 64 << 10
	// budgetWeight lets a single large body use almost the whole budget. Small ones have the
	// reserve.
	budgetWeight = 32
	// DefaultBodyBytesMax limits the total size of the bodies that are being read, unless
	// configured otherwise. One response may have 64 MB.
	DefaultBodyBytesMax = 128 << 20
)

// bodyReader reads response bodies within one memory budget for all connections.
type bodyReader struct {
	mu     sync.Mutex
	budget *membudget.Budget
}

func newBodyReader(budgetBytes int) *bodyReader {
	return &bodyReader{budget: membudget.NewWeighted(budgetBytes, reserveBytes, budgetWeight)}
}

// read reads the whole body of a response, and charges it to lease as well.
func (b *bodyReader) read(r *http.Response, lease *memory.Lease) (message.Body, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	held := 0
	defer func() { b.release(held) }()
	body, err := message.ReadBody(r.Body, r.ContentLength, unlimitedBytes, func(n int) bool {
		if !b.tryGrow(held, n) {
			return false
		}
		held += n
		return lease.Grow(n)
	})
	if errors.Is(err, message.ErrNoMemory) {
		return nil, &TooLargeError{Part: "body", Max: held}
	}
	return body, err
}

func (b *bodyReader) tryGrow(held, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TryGrow(held, n)
}

func (b *bodyReader) release(held int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Release(held)
}
