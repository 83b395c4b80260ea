package traffic

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/galenacart/galenacart/internal/problem"
)

const (
	// callerTokenTimeout bounds the request of a token.
	callerTokenTimeout = 300 * time.Millisecond
	// callerFenceTimeout bounds the request of a fence.
	callerFenceTimeout = 1500 * time.Millisecond
)

// sendRequest sends one request and records it and its answer.
func (h *history) sendRequest(ctx context.Context, from *process, q *testRequest) answerEntry {
	h.observations.recordSend(q.sending)
	a := h.exchange(ctx, from, q)
	h.observations.recordAnswer(a)
	return a
}

func (h *history) exchange(ctx context.Context, from *process, q *testRequest) answerEntry {
	a := answerEntry{id: q.id, sending: q.sending, method: q.method, fence: q.fence}
	r, err := q.build(ctx)
	if err != nil {
		a.err = err
		return a
	}
	transport := &http.Transport{DialContext: h.network.dialer(from), DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(r)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	a.status, a.body, a.err = response.StatusCode, string(body), err
	a.kind, a.ran = response.Header.Get(problem.HeaderKind), response.Header.Get(problem.HeaderRan)
	return a
}

// runCaller executes one request plan with all its sends.
func (h *history) runCaller(number int, plan *requestPlan) {
	time.Sleep(time.Duration(plan.AtMs) * time.Millisecond)
	id := strconv.Itoa(number)
	from := &process{kind: callerProcess}
	key := ""
	switch plan.Key {
	case keyOwn:
		key = "own-key-" + id
	case keyToken:
		if key = h.requestToken(from, plan.TokenAt, id); key == "" {
			return
		}
	}
	var group sync.WaitGroup
	for i, s := range plan.Sends {
		time.Sleep(time.Duration(s.GapMs) * time.Millisecond)
		q := &testRequest{
			id: id, sending: id + "." + strconv.Itoa(i), method: plan.Method,
			address: h.callerAddress(s.Node), target: plan.Path, key: key, crash: plan.Crash,
		}
		sent := h.sendAsync(&group, from, q, time.Duration(s.TimeoutMs)*time.Millisecond)
		if s.Wait {
			<-sent
		}
	}
	if plan.Fence {
		h.sendFence(from, h.callerAddress(plan.FenceAt), id, key)
	}
	group.Wait()
}

// sendAsync sends a request in the background. The channel is closed when the
// answer has been recorded.
func (h *history) sendAsync(group *sync.WaitGroup, from *process, q *testRequest, timeout time.Duration) <-chan struct{} {
	done := make(chan struct{})
	group.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		h.sendRequest(ctx, from, q)
	})
	return done
}

func (h *history) sendFence(from *process, address, id, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), callerFenceTimeout)
	defer cancel()
	h.sendRequest(ctx, from, &testRequest{id: id, sending: id + ".fence", method: http.MethodPost, address: address, target: PathFence, key: key, fence: true})
}

// requestToken returns an idempotency token, or "" when the node issues none.
func (h *history) requestToken(from *process, node int, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callerTokenTimeout)
	defer cancel()
	a := h.exchange(ctx, from, &testRequest{id: id, method: http.MethodPost, address: h.callerAddress(node), target: PathToken})
	var t TokenResponse
	if a.err != nil || json.Unmarshal([]byte(a.body), &t) != nil {
		return ""
	}
	return t.Token
}

func (h *history) callerAddress(node int) string {
	return locationOf(node%h.script.Nodes).host + portCaller
}
