package endpoint

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// errQueueFull is the error of a call that arrives when the queue is full.
var errQueueFull = errors.New("queue full")

// slots limits the number of concurrent calls. Up to queueMax further calls wait in
// the order of arrival.
type slots struct {
	sem      *semaphore.Weighted
	size     int
	queueMax int64
	running  atomic.Int64
	waiting  atomic.Int64
	onChange func() // called after each change of running or waiting calls
}

func newSlots(size, queueMax int, onChange func()) *slots {
	return &slots{
		sem:      semaphore.NewWeighted(int64(size)),
		size:     size,
		queueMax: int64(queueMax),
		onChange: onChange,
	}
}

// acquire acquires a slot. It returns errQueueFull immediately if the queue is full,
// or the error of ctx if ctx ends first.
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
		return errQueueFull
	}
	s.onChange()
	return s.sem.Acquire(ctx, 1)
}

func (s *slots) release() {
	s.running.Add(-1)
	s.sem.Release(1)
	s.onChange()
}

// load returns the number of running and waiting calls per slot.
func (s *slots) load() float64 {
	return float64(s.running.Load()+s.waiting.Load()) / float64(s.size)
}
