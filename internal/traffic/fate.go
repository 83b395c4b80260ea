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

// lost turns a failed exchange with another node into the outcome of a try.
func (t *Traffic) lost(ctx context.Context, m *fleetview.Member, err error) (try, routing.AttemptResult) {
	var unsent *unsentError
	switch {
	case errors.As(err, &unsent) && ctx.Err() == nil:
		t.doubtOthers(m)
		t.config.Reports.Send(fleetview.Report{Kind: fleetview.ReportPeerUnreachable, VM: m.VM})
		a := failed(problem.New(problem.KindUnreachable, problem.NotExecuted, "VM %s can't be reached", m.VM))
		return try{answer: a, fate: retry.OutcomeNotSent}, routing.AttemptResult{Outcome: routing.OutcomeUnreachable}
	case errors.As(err, &unsent):
		a := failed(problem.New(problem.KindDeadline, problem.NotExecuted, "no time was left"))
		return try{answer: a, fate: retry.OutcomeNotSent, final: true}, routing.AttemptResult{Outcome: routing.OutcomeCancelled}
	case errors.Is(err, errSilent):
		t.doubtOthers(m)
		t.config.Log.Emit(event.ConnectionSilent, "", event.F("vm", m.VM))
		a := failed(problem.New(problem.KindConnectionLost, problem.ExecutionUnknown, "the connection to VM %s went silent", m.VM))
		return try{answer: a, fate: retry.OutcomeUnknown, silent: true}, routing.AttemptResult{Outcome: routing.OutcomeStalled}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		a := failed(problem.New(problem.KindTimeout, problem.ExecutionUnknown, "VM %s didn't answer in time", m.VM))
		return try{answer: a, fate: retry.OutcomeUnknown, final: true}, routing.AttemptResult{Outcome: routing.OutcomeBroken}
	case ctx.Err() != nil:
		a := failed(problem.New(problem.KindCancelled, problem.ExecutionUnknown, "the caller went away"))
		return try{answer: a, fate: retry.OutcomeUnknown, final: true}, routing.AttemptResult{Outcome: routing.OutcomeCancelled}
	default:
		t.config.Log.Emit(event.AnswerInvalid, "", event.F("vm", m.VM), event.F("cause", strings.ToValidUTF8(err.Error(), "?")))
		a := failed(problem.New(problem.KindConnectionLost, problem.ExecutionUnknown, "the answer of VM %s was lost", m.VM))
		return try{answer: a, fate: retry.OutcomeUnknown}, routing.AttemptResult{Outcome: routing.OutcomeBroken}
	}
}

// doubtOthers has the endpoints of other availability zones probed after a call
// to one was lost.
func (t *Traffic) doubtOthers(m *fleetview.Member) {
	own := t.config.Settings.AvailabilityZone
	if m.AvailabilityZone != own {
		t.targets.doubt(t.config.View.Load(), own)
	}
}

// resume asks a node what became of a non-idempotent call whose answer was
// lost. Only the very process that got the call can tell.
func (t *Traffic) resume(ctx context.Context, m *fleetview.Member, meta *call.Meta, o *outgoing, incarnation uint64, lost try) try {
	if incarnation == 0 || ctx.Err() != nil {
		return lost
	}
	t.config.Log.Emit(event.OutcomeQueried, o.correlation, event.F("vm", m.VM), event.F("attempt", meta.Attempt.String()))
	again := *meta
	again.ResumeIncarnation = incarnation
	a, reply, err := t.peers.send(ctx, m.PeerAddress, &again, o.request)
	if err != nil || reply.Incarnation != incarnation {
		return lost
	}
	t.hear(o, reply)
	if a.problem == nil {
		return try{answer: a}
	}
	return try{answer: a, fate: fateOf(a.problem), final: isFinal(a.problem.Kind)}
}

// fateOf returns what a problem says about an attempt.
func fateOf(e *problem.Error) retry.Outcome {
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

// outcomeFor returns what a problem says about the endpoint that it came from.
func outcomeFor(k problem.Kind) routing.Outcome {
	switch k {
	case problem.KindUnreachable:
		return routing.OutcomeUnreachable
	case problem.KindConnectionLost, problem.KindAnswerInvalid, problem.KindTimeout:
		return routing.OutcomeBroken
	default:
		return routing.OutcomeAnswered
	}
}

// isFinal reports whether no other endpoint would do better.
func isFinal(k problem.Kind) bool {
	switch k {
	case problem.KindDeadline, problem.KindTimeout, problem.KindCancelled, problem.KindSuspect,
		problem.KindOverloadedEverywhere, problem.KindNoRoute, problem.KindBodyTooLarge, problem.KindBadCall:
		return true
	default:
		return false
	}
}
