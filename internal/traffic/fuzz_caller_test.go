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
	// tokenPatience bounds a caller's wait for a token.
	tokenPatience = 300 * time.Millisecond
	// fencePatience bounds a caller's wait for a fence.
	fencePatience = 1500 * time.Millisecond
)

// ask sends one request and notes the answer.
func (h *history) ask(ctx context.Context, from *process, q *asking) answerEntry {
	h.ledger.send(q.sending)
	a := h.exchange(ctx, from, q)
	h.ledger.answer(a)
	return a
}

func (h *history) exchange(ctx context.Context, from *process, q *asking) answerEntry {
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

// caller plays one request with all its sendings.
func (h *history) caller(number int, plan *requestPlan) {
	time.Sleep(time.Duration(plan.AtMs) * time.Millisecond)
	id := strconv.Itoa(number)
	from := &process{kind: callerProcess}
	key := ""
	switch plan.Key {
	case keyOwn:
		key = "own-key-" + id
	case keyToken:
		if key = h.token(from, plan.TokenAt, id); key == "" {
			return
		}
	}
	var group sync.WaitGroup
	for i, s := range plan.Sends {
		time.Sleep(time.Duration(s.GapMs) * time.Millisecond)
		q := &asking{
			id: id, sending: id + "." + strconv.Itoa(i), method: plan.Method,
			address: h.callerAddress(s.Node), target: plan.Path, key: key, crash: plan.Crash,
		}
		sent := h.sendAway(&group, from, q, time.Duration(s.PatienceMs)*time.Millisecond)
		if s.Wait {
			<-sent
		}
	}
	if plan.Fence {
		h.fenced(from, h.callerAddress(plan.FenceAt), id, key)
	}
	group.Wait()
}

// sendAway sends without waiting. The channel closes with the answer.
func (h *history) sendAway(group *sync.WaitGroup, from *process, q *asking, patience time.Duration) <-chan struct{} {
	done := make(chan struct{})
	group.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		h.ask(ctx, from, q)
	})
	return done
}

func (h *history) fenced(from *process, address, id, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), fencePatience)
	defer cancel()
	h.ask(ctx, from, &asking{id: id, sending: id + ".fence", method: http.MethodPost, address: address, target: PathFence, key: key, fence: true})
}

// token gets an idempotency token, or "" when the node gives none.
func (h *history) token(from *process, node int, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), tokenPatience)
	defer cancel()
	a := h.exchange(ctx, from, &asking{id: id, method: http.MethodPost, address: h.callerAddress(node), target: PathToken})
	var t TokenResponse
	if a.err != nil || json.Unmarshal([]byte(a.body), &t) != nil {
		return ""
	}
	return t.Token
}

func (h *history) callerAddress(node int) string {
	return placeOf(node%h.script.Nodes).host + portCaller
}
