package endpoint

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// errShed is the error of a call that finds the queue full.
var errShed = errors.New("queue full")

// slots bounds the calls that run at once. Further calls wait in the order of
// their arrival, up to a number.
type slots struct {
	sem      *semaphore.Weighted
	size     int
	queueMax int64
	running  atomic.Int64
	waiting  atomic.Int64
	onChange func()
}

func newSlots(size, queueMax int, onChange func()) *slots {
	return &slots{
		sem:      semaphore.NewWeighted(int64(size)),
		size:     size,
		queueMax: int64(queueMax),
		onChange: onChange,
	}
}

// acquire takes a slot. It returns errShed at once when the queue is full, or
// the error of ctx when that ends first.
func (s *slots) acquire(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !s.sem.TryAcquire(1) {
		if err := s.waitInQueue(ctx); err != nil {
			return err
		}
	}
	s.running.Add(1)
	s.onChange()
	return nil
}

func (s *slots) waitInQueue(ctx context.Context) error {
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > s.queueMax {
		return errShed
	}
	s.onChange()
	return s.sem.Acquire(ctx, 1)
}

func (s *slots) release() {
	s.running.Add(-1)
	s.sem.Release(1)
	s.onChange()
}

// load is the number of calls that run or wait, per slot.
func (s *slots) load() float64 {
	return float64(s.running.Load()+s.waiting.Load()) / float64(s.size)
}
