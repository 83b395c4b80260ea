package traffic

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/retry"
	"github.com/galenacart/galenacart/decision/routing"
	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/problem"
)

// exchangeFailure classifies a failed exchange with another node.
func (t *Traffic) exchangeFailure(ctx context.Context, m *fleetview.Member, err error) (attemptResult, routing.AttemptResult) {
	var unsent *unsentError
	switch {
	case errors.As(err, &unsent) && ctx.Err() == nil:
		t.requestZoneProbes(m)
		t.config.Reports.Send(fleetview.Report{Kind: fleetview.ReportPeerUnreachable, VM: m.VM})
		a := problemAnswer(problem.New(problem.KindUnreachable, problem.NotExecuted, "VM %s can't be reached", m.VM))
		return attemptResult{answer: a, outcome: retry.OutcomeNotSent}, routing.AttemptResult{Outcome: routing.OutcomeUnreachable}
	case errors.As(err, &unsent):
		a := problemAnswer(problem.New(problem.KindDeadline, problem.NotExecuted, "no time was left"))
		return attemptResult{answer: a, outcome: retry.OutcomeNotSent, final: true}, routing.AttemptResult{Outcome: routing.OutcomeCancelled}
	case errors.Is(err, errConnectionSilent):
		t.requestZoneProbes(m)
		t.config.Log.Emit(event.ConnectionSilent, "", event.F("vm", m.VM))
		a := problemAnswer(problem.New(problem.KindConnectionLost, problem.ExecutionUnknown, "the connection to VM %s went silent", m.VM))
		return attemptResult{answer: a, outcome: retry.OutcomeUnknown, connectionSilent: true}, routing.AttemptResult{Outcome: routing.OutcomeStalled}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		a := problemAnswer(problem.New(problem.KindTimeout, problem.ExecutionUnknown, "VM %s didn't answer in time", m.VM))
		return attemptResult{answer: a, outcome: retry.OutcomeUnknown, final: true}, routing.AttemptResult{Outcome: routing.OutcomeBroken}
	case ctx.Err() != nil:
		a := problemAnswer(problem.New(problem.KindCancelled, problem.ExecutionUnknown, "the caller went away"))
		return attemptResult{answer: a, outcome: retry.OutcomeUnknown, final: true}, routing.AttemptResult{Outcome: routing.OutcomeCancelled}
	default:
		t.config.Log.Emit(event.AnswerInvalid, "", event.F("vm", m.VM), event.F("cause", strings.ToValidUTF8(err.Error(), "?")))
		a := problemAnswer(problem.New(problem.KindConnectionLost, problem.ExecutionUnknown, "the answer of VM %s was lost", m.VM))
		return attemptResult{answer: a, outcome: retry.OutcomeUnknown}, routing.AttemptResult{Outcome: routing.OutcomeBroken}
	}
}

// requestZoneProbes requests probes of the endpoints in other availability zones
// after the connection to one of them failed.
func (t *Traffic) requestZoneProbes(m *fleetview.Member) {
	own := t.config.Settings.AvailabilityZone
	if m.AvailabilityZone != own {
		t.targets.probeOtherZones(t.config.View.Load(), own)
	}
}

// queryOutcome asks a node for the outcome of a non-idempotent call whose answer
// was lost. Only the process that received the call knows the outcome.
func (t *Traffic) queryOutcome(ctx context.Context, m *fleetview.Member, meta *call.Meta, o *outgoing, incarnation uint64, failed attemptResult) attemptResult {
	if incarnation == 0 || ctx.Err() != nil {
		return failed
	}
	t.config.Log.Emit(event.OutcomeQueried, o.correlation, event.F("vm", m.VM), event.F("attempt", meta.Attempt.String()))
	query := *meta
	query.ResumeIncarnation = incarnation
	a, reply, err := t.peers.send(ctx, m.PeerAddress, &query, o.request)
	if err != nil || reply.Incarnation != incarnation {
		return failed
	}
	t.recordLosses(o, reply)
	if a.problem == nil {
		return attemptResult{answer: a}
	}
	return attemptResult{answer: a, outcome: attemptOutcome(a.problem), final: isFinal(a.problem.Kind)}
}

// attemptOutcome returns the outcome of an attempt that ended with a problem.
func attemptOutcome(e *problem.Error) retry.Outcome {
	switch {
	case e.Kind == problem.KindLeaving, e.Kind == problem.KindNotReady:
		return retry.OutcomeNotServing
	case e.Kind == problem.KindOverloaded && e.Execution == problem.NotExecuted:
		return retry.OutcomeShed
	case e.Execution == problem.NotExecuted:
		return retry.OutcomeRefused
	case e.Execution == problem.Executed:
		return retry.OutcomeExecuted
	default:
		return retry.OutcomeUnknown
	}
}

// endpointOutcome returns the outcome that the router records for the endpoint
// that returned a problem.
func endpointOutcome(k problem.Kind) routing.Outcome {
	switch k {
	case problem.KindUnreachable:
		return routing.OutcomeUnreachable
	case problem.KindConnectionLost, problem.KindAnswerInvalid, problem.KindTimeout:
		return routing.OutcomeBroken
	default:
		return routing.OutcomeAnswered
	}
}

// isFinal reports whether a retry on another endpoint can't give a better result.
func isFinal(k problem.Kind) bool {
	switch k {
	case problem.KindDeadline, problem.KindTimeout, problem.KindCancelled, problem.KindSuspect,
		problem.KindOverloadedEverywhere, problem.KindNoRoute, problem.KindBodyTooLarge, problem.KindBadCall:
		return true
	default:
		return false
	}
}
