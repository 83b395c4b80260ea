package endpoint

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/standin/answer"
	"github.com/galenacart/galenacart/internal/standin/truth"
	"github.com/galenacart/galenacart/internal/wait"
)

// errCrashed is the error of a call that ended the process.
var errCrashed = errors.New("crashed")

// work does the endpoint's own work and then its child calls.
func (e *Endpoint) work(ctx context.Context, in *incoming) (*answer.Response, error) {
	own := e.sampler.serviceTime(in.route.ServiceTime, e.behaviour.Load().SlowFactor, time.Now())
	if e.crashes(in) {
		return nil, e.crash(ctx, in, own/2)
	}
	if !wait.For(ctx, own) {
		return nil, ctx.Err()
	}
	children, err := e.callChildren(ctx, in)
	if err != nil {
		return nil, err
	}
	return &answer.Response{
		Request:  in.record.Request,
		Service:  e.settings.Service,
		VM:       e.settings.VM,
		Method:   in.record.Method,
		Path:     in.record.Path,
		BodyHash: in.bodyHash(),
		Calls:    len(children),
		Children: children,
		Padding:  strings.Repeat("x", in.route.AnswerBytes),
	}, nil
}

// crash ends the process after a part of the call's work.
func (e *Endpoint) crash(ctx context.Context, in *incoming, after time.Duration) error {
	if !wait.For(ctx, after) {
		return ctx.Err()
	}
	e.note(in, truth.Record{Kind: truth.Crashed, RunMs: toMs(after)})
	e.log.Emit(event.EndpointCrash, in.record.Request, event.F("path", in.record.Path))
	e.options.Crash()
	return errCrashed
}

// callChildren makes the child calls of a route and returns their answers in
// the order of the settings. The first failure cancels the others.
func (e *Endpoint) callChildren(ctx context.Context, in *incoming) ([]answer.Response, error) {
	calls := childCalls(in)
	answers := make([]answer.Response, len(calls))
	if len(calls) == 0 {
		return answers, nil
	}
	group, ctx := errgroup.WithContext(ctx)
	if !in.route.Parallel {
		group.SetLimit(1)
	}
	for i := range calls {
		if ctx.Err() != nil {
			break
		}
		group.Go(func() error {
			a, err := e.callChild(ctx, &calls[i])
			if err != nil {
				return err
			}
			answers[i] = *a
			return nil
		})
	}
	return answers, group.Wait()
}
