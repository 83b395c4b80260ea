package proxy

import (
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/endpointlink"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/message"
)

// sends reports whether a call may go to the endpoint, which may break off all calls.
func (s *endpointServer) sends(call *calllink.Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaker.Admit(s.config.Now(), call.Idempotent)
}

// heard takes in what an exchange told of the endpoint. One whose time ended tells
// nothing, nor does a connection that the endpoint had forgotten.
func (s *endpointServer) heard(fate endpointlink.Outcome, err error, timeOver bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case fate == endpointlink.Answered, errors.Is(err, endpointlink.ErrRefused), errors.Is(err, endpointlink.ErrMisdirected):
		s.crashes.answered()
		if s.breaker.RecordResponse() {
			s.config.Log.Emit(event.EndpointRecovered, "")
		}
	case timeOver, errors.Is(err, endpointlink.ErrIdleClosed):
	case s.breaker.RecordFailure():
		s.config.Log.Emit(event.EndpointAborting, "", event.F("error", err))
	}
}

// tellBroken tells of an answer that was not whole, or had no end.
func (s *endpointServer) tellBroken(r *message.Request, err error) {
	id := r.Header.Get(s.config.Headers.RequestID)
	var large *endpointlink.TooLargeError
	if !errors.As(err, &large) {
		s.config.Log.Emit(event.AnswerInvalid, id, event.F("error", err))
		return
	}
	s.config.Metrics.RecordOversizedAnswer()
	s.config.Log.Emit(event.AnswerOversized, id, event.F("part", large.Part), event.F("max_bytes", large.Max),
		event.F("endpoint", s.config.Settings.EndpointAddress))
}

// crashed blames the requests that the endpoint may have run without a client when it
// crashed.
func (s *endpointServer) crashed(crash uint64, crashed bool) {
	if !crashed {
		return
	}
	for _, one := range s.crashes.takeLeft() {
		s.suspects.blame(one.request, one.route, crash)
	}
}
