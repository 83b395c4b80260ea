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

// errCrashed is the error of a call that crashed the process.
var errCrashed = errors.New("crashed")

// work waits for the endpoint's own service time and then makes the child calls.
func (e *Endpoint) work(ctx context.Context, in *incoming) (*answer.Response, error) {
	ownTime := e.sampler.serviceTime(in.route.ServiceTime, e.behaviour.Load().SlowFactor, time.Now())
	if e.crashes(in) {
		return nil, e.crash(ctx, in, ownTime/2)
	}
	if !wait.For(ctx, ownTime) {
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

// crash crashes the process after a part of the call's service time.
func (e *Endpoint) crash(ctx context.Context, in *incoming, after time.Duration) error {
	if !wait.For(ctx, after) {
		return ctx.Err()
	}
	e.addRecord(in, truth.Record{Kind: truth.Crashed, RunMs: toMs(after)})
	e.log.Emit(event.EndpointCrash, in.record.Request, event.F("path", in.record.Path))
	e.options.Crash()
	return errCrashed
}

// callChildren makes the child calls of a route and returns their responses in the
// order of the settings. The first failure cancels the other calls.
func (e *Endpoint) callChildren(ctx context.Context, in *incoming) ([]answer.Response, error) {
	calls := childCalls(in)
	responses := make([]answer.Response, len(calls))
	if len(calls) == 0 {
		return responses, nil
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
			response, err := e.callChild(ctx, &calls[i])
			if err != nil {
				return err
			}
			responses[i] = *response
			return nil
		})
	}
	return responses, group.Wait()
}
