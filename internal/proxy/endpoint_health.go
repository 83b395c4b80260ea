package proxy

import (
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/endpointlink"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/message"
)

// breakerAdmits reports whether the circuit breaker lets a call through to the endpoint.
func (s *endpointServer) breakerAdmits(call *calllink.Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaker.Admit(s.config.Now(), call.Idempotent)
}

// observeExchange updates the crash detector and the circuit breaker after an exchange. A
// timeout says nothing about the endpoint, nor does a stale connection.
func (s *endpointServer) observeExchange(outcome endpointlink.Outcome, err error, timedOut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case outcome == endpointlink.Answered, errors.Is(err, endpointlink.ErrRefused), errors.Is(err, endpointlink.ErrMisdirected):
		s.crashDetector.recordResponse()
		if s.breaker.RecordResponse() {
			s.config.Log.Emit(event.EndpointRecovered, "")
		}
	case timedOut, errors.Is(err, endpointlink.ErrIdleClosed):
	case s.breaker.RecordFailure():
		s.config.Log.Emit(event.EndpointAborting, "", event.F("error", err))
	}
}

// recordNotice applies what an answer says of an endpoint instance.
func (s *endpointServer) recordNotice(instance string, n endpointlink.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Leaving && s.recordLeaving(instance) {
		s.config.Log.Emit(event.EndpointLeaving, "", event.F("endpoint", instance))
		s.returnWaiting()
	}
	if n.Err != nil {
		s.config.Log.Emit(event.EndpointLimited, "", event.F("error", n.Err))
		return // the rate of before holds
	}
	if s.gate.RecordAnswer(s.config.Now(), n.CallsPerSecond) {
		s.config.Log.Emit(event.EndpointLimited, "", event.F("calls_per_second", n.CallsPerSecond))
	}
}

// logInvalidResponse logs an exchange that ended without a valid response, or whose response
// exceeded a size limit.
func (s *endpointServer) logInvalidResponse(r *message.Request, err error) {
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

// handleCrash handles a crash of the endpoint: the abandoned requests that it may have
// been running are recorded as suspects.
func (s *endpointServer) handleCrash(crash uint64, detected bool) {
	if !detected {
		return
	}
	for _, one := range s.crashDetector.takeAbandoned() {
		s.suspectTracker.recordCrash(one, crash)
	}
}
