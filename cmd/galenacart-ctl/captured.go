package main

import (
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/timeline"
)

// readCaptured returns the events in the captured output of all nodes in causal order.
// A file without events is an error.
func readCaptured(file string) ([]timeline.Event, error) {
	l, err := timeline.ReadFile(file)
	if err != nil {
		return nil, err
	}
	events := timeline.Merge(l)
	if len(events) == 0 {
		return nil, errors.New("no event found")
	}
	return events, nil
}
