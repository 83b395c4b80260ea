package runner

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/caller"
	"github.com/galenacart/galenacart/internal/load/arrival"
	"github.com/galenacart/galenacart/internal/load/outcome"
	"github.com/galenacart/galenacart/internal/standin/endpoint"
)

// request sends one request and records what became of it.
func (r *Runner) request(ctx context.Context, number int, a arrival.Arrival) {
	k := r.kinds[a.Route]
	due := r.start.Add(a.At)
	limit := due.Add(k.route.Timeout())
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	id := fmt.Sprintf("%s-%s-%d-%06d", r.config.Targets.Mode, r.config.Experiment.Name, r.config.Experiment.Seed, number)
	request := r.build(k, id, number)
	client := r.clients[clientKey{resends: r.config.Experiment.RetryPolicyOf(a.Phase), service: k.route.Service}]

	lag := time.Since(due)
	answer, err := client.Do(ctx, request)
	end := time.Now()

	o := outcome.Outcome{
		Request: id, Phase: a.Phase, Route: a.Route, Class: k.route.Class, Idempotent: k.route.Idempotent,
		ArrivalNs: int64(a.At), LatencyNs: int64(end.Sub(due)), SendLagNs: int64(lag), EndWallNs: end.UnixNano(),
	}
	late := !end.Before(limit)
	if err != nil {
		describeLost(&o, err, late)
	} else {
		k.describe(&o, answer, late)
	}
	r.records.Add(o)
}

// build returns the HTTP request. Its query and body differ from those of every
// other request, as the requests of different people do.
func (r *Runner) build(k *kind, id string, number int) *caller.Request {
	request := &caller.Request{
		Method:     k.route.Method,
		Path:       fmt.Sprintf("%s?number=%d", k.route.Path, number),
		Header:     http.Header{},
		Idempotent: k.route.Idempotent,
	}
	request.Header.Set(endpoint.HeaderRequest, id)
	if k.route.Method != http.MethodGet && k.route.Method != http.MethodHead {
		request.Body = fmt.Appendf(nil, `{"request":%q}`, id)
		request.Header.Set("Content-Type", "application/json")
	}
	if r.config.Targets.Mode != ModeGalenacart && !k.route.Idempotent {
		request.IdempotencyKey = id // endpoints hand out no tokens
	}
	return request
}

// describe fills in what an answer says.
func (k *kind) describe(o *outcome.Outcome, a *caller.Answer, late bool) {
	o.Status, o.Sends, o.Ran = a.Status, a.Attempts, string(a.Execution)
	switch {
	case !a.FromEndpoint():
		o.Result, o.Kind = outcome.Refused, a.Kind
	case a.Status >= http.StatusBadRequest:
		o.Result, o.Kind, o.Detail = outcome.Failed, causeOf(a.Body), shorten(string(a.Body))
	default:
		o.Result = outcome.Complete
		if err := k.tree.Check(a.Body, o.Request); err != nil {
			o.Result, o.Detail = outcome.InvalidResponse, shorten(err.Error())
		} else if late {
			o.Result = outcome.TimedOut
		}
	}
}

// describeLost fills in that no answer came.
func describeLost(o *outcome.Outcome, err error, late bool) {
	o.Result, o.Ran, o.Detail = outcome.NoResponse, string(caller.ExecutionUnknown), shorten(err.Error())
	var lost *caller.NoAnswerError
	if errors.As(err, &lost) {
		o.Sends, o.Ran = lost.Attempts, string(lost.Execution)
	}
	if late {
		o.Result = outcome.TimedOut
	}
}

// problemType matches the type of a node's refusal, also inside of the text by
// which an endpoint passes on the failure of a call below it.
var problemType = regexp.MustCompile(`urn:galenacart:problem:([a-z_]+)`)

// causeOf returns the kind of the deepest refusal in the body of an endpoint's
// own error, or nothing.
func causeOf(body []byte) string {
	all := problemType.FindAllSubmatch(body, -1)
	if len(all) == 0 {
		return ""
	}
	return string(all[len(all)-1][1])
}

// detailBytes bounds the detail kept of a failure.
const detailBytes = 1000

func shorten(s string) string {
	return s[:min(len(s), detailBytes)]
}
