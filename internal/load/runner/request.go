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

// request sends one request and records its outcome.
func (r *Runner) request(ctx context.Context, number int, a arrival.Arrival) {
	info := r.routes[a.Route]
	due := r.start.Add(a.At)
	limit := due.Add(info.route.Timeout())
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	id := fmt.Sprintf("%s-%s-%d-%06d", r.config.Targets.Mode, r.config.Experiment.Name, r.config.Experiment.Seed, number)
	request := r.buildRequest(info, id, number)
	client := r.clients[clientKey{retryPolicy: r.config.Experiment.RetryPolicyOf(a.Phase), service: info.route.Service}]

	lag := time.Since(due)
	answer, err := client.Do(ctx, request)
	end := time.Now()

	o := outcome.Outcome{
		Request: id, Phase: a.Phase, Route: a.Route, Class: info.route.Class, Idempotent: info.route.Idempotent,
		ArrivalNs: int64(a.At), LatencyNs: int64(end.Sub(due)), SendLagNs: int64(lag), EndWallNs: end.UnixNano(),
	}
	late := !end.Before(limit)
	if err != nil {
		describeNoAnswer(&o, err, late)
	} else {
		info.describeAnswer(&o, answer, late)
	}
	r.records.Add(o)
}

// buildRequest returns the HTTP request. Its query and body are unique, like those
// of independent users.
func (r *Runner) buildRequest(info *routeInfo, id string, number int) *caller.Request {
	request := &caller.Request{
		Method:     info.route.Method,
		Path:       fmt.Sprintf("%s?number=%d", info.route.Path, number),
		Header:     http.Header{},
		Idempotent: info.route.Idempotent,
	}
	request.Header.Set(endpoint.HeaderRequest, id)
	if info.route.Method != http.MethodGet && info.route.Method != http.MethodHead {
		request.Body = fmt.Appendf(nil, `{"request":%q}`, id)
		request.Header.Set("Content-Type", "application/json")
	}
	if r.config.Targets.Mode != ModeGalenacart && !info.route.Idempotent {
		request.IdempotencyKey = id // endpoints issue no tokens
	}
	return request
}

// describeAnswer records an answer in the outcome.
func (info *routeInfo) describeAnswer(o *outcome.Outcome, a *caller.Answer, late bool) {
	o.Status, o.Sends, o.Ran = a.Status, a.Attempts, string(a.Execution)
	switch {
	case !a.FromEndpoint():
		o.Result, o.Kind = outcome.Refused, a.Kind
	case a.Status >= http.StatusBadRequest:
		o.Result, o.Kind, o.Detail = outcome.Failed, refusalKind(a.Body), truncateDetail(string(a.Body))
	default:
		o.Result = outcome.Complete
		if err := info.tree.Check(a.Body, o.Request); err != nil {
			o.Result, o.Detail = outcome.InvalidResponse, truncateDetail(err.Error())
		} else if late {
			o.Result = outcome.TimedOut
		}
	}
}

// describeNoAnswer records a request without an answer in the outcome.
func describeNoAnswer(o *outcome.Outcome, err error, late bool) {
	o.Result, o.Ran, o.Detail = outcome.NoResponse, string(caller.ExecutionUnknown), truncateDetail(err.Error())
	var lost *caller.NoAnswerError
	if errors.As(err, &lost) {
		o.Sends, o.Ran = lost.Attempts, string(lost.Execution)
	}
	if late {
		o.Result = outcome.TimedOut
	}
}

// problemType matches the type of a node's refusal, also when an endpoint quotes
// it in the error about a failed downstream call.
var problemType = regexp.MustCompile(`urn:galenacart:problem:([a-z_]+)`)

// refusalKind returns the kind of the deepest refusal in the body of an endpoint's
// own error, or an empty string.
func refusalKind(body []byte) string {
	all := problemType.FindAllSubmatch(body, -1)
	if len(all) == 0 {
		return ""
	}
	return string(all[len(all)-1][1])
}

// maxDetailBytes limits the error text stored with an outcome.
const maxDetailBytes = 1000

func truncateDetail(s string) string {
	return s[:min(len(s), maxDetailBytes)]
}
