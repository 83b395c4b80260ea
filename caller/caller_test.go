package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/problem"
	"github.com/galenacart/galenacart/internal/traffic"
	"github.com/galenacart/galenacart/internal/wait"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// reply is what a fake node answers to one send.
type reply struct {
	status int
	kind   string
	ran    string
	after  string // Retry-After
	body   string
	err    error
	delay  time.Duration
}

// seen is one send as a fake node saw it.
type seen struct {
	address, method, path, key string
	at                         time.Time
}

// fake is a transport that answers sends in order; the last reply repeats.
type fake struct {
	mu      sync.Mutex
	replies []reply
	seen    []seen
}

func (f *fake) RoundTrip(r *http.Request) (*http.Response, error) {
	_, _ = io.Copy(io.Discard, r.Body)
	f.mu.Lock()
	f.seen = append(f.seen, seen{r.URL.Host, r.Method, r.URL.Path, r.Header.Get("Idempotency-Key"), time.Now()})
	one := f.replies[0]
	if len(f.replies) > 1 {
		f.replies = f.replies[1:]
	}
	f.mu.Unlock()
	if !wait.For(r.Context(), one.delay) {
		return nil, r.Context().Err()
	}
	if one.err != nil {
		return nil, one.err
	}
	h := http.Header{}
	for name, value := range map[string]string{headerKind: one.kind, headerRan: one.ran, headerRetryAfter: one.after} {
		if value != "" {
			h.Set(name, value)
		}
	}
	return &http.Response{StatusCode: one.status, Header: h, Body: io.NopCloser(strings.NewReader(one.body))}, nil
}

var (
	nodes    = []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
	token1   = reply{status: 200, body: `{"token":"t1","lifetimeMs":1000}`}
	token2   = reply{status: 200, body: `{"token":"t2","lifetimeMs":1000}`}
	whole    = reply{status: 200, body: "whole"}
	shed     = reply{status: 503, kind: "overloaded", ran: "no", after: "1"}
	notReady = reply{status: 503, kind: "not_ready", ran: "no", after: "1"}
	gone     = reply{status: 409, kind: "home_gone", ran: "unknown"}
	expired  = reply{status: 410, kind: "token_expired", ran: "no"}
	lost     = reply{err: errors.New("connection reset")}
	notFound = reply{status: 404, body: "no such door"}
)

func TestDo(t *testing.T) {
	booking := &Request{Method: "POST", Path: "/bookings", Body: []byte("x")}
	lookup := &Request{Method: "GET", Path: "/fault-logs", Idempotent: true}
	own := &Request{Method: "POST", Path: "/bookings", IdempotencyKey: "mine"}
	cases := []struct {
		desc    string
		request *Request
		replies []reply
		keys    []string // of each send; a request for a token has none
		status  int      // 0: no answer
		ran     Execution
		sends   int
	}{
		{"lookups take no token", lookup, []reply{whole}, []string{""}, 200, Executed, 1},
		{"bookings take a token first", booking, []reply{token1, whole}, []string{"", "t1"}, 200, Executed, 1},
		{"a caller's own key is used", own, []reply{whole}, []string{"mine"}, 200, Executed, 1},
		{"a resend keeps the token", booking, []reply{token1, lost, whole}, []string{"", "t1", "t1"}, 200, Executed, 2},
		{"a refused token is replaced", booking, []reply{token1, shed, token2, whole}, []string{"", "t1", "", "t2"}, 200, Executed, 2},
		{"an endpoint's own error is final", lookup, []reply{notFound}, []string{""}, 404, Executed, 1},
		{"a kind without Retry-After is final", booking, []reply{token1, gone}, []string{"", "t1"}, 409, ExecutionUnknown, 1},
		{"sends are bounded", booking, []reply{token1, shed}, []string{"", "t1", "", ""}, 503, NotExecuted, 3},
		{"an expired token that never ran is replaced", booking, []reply{token1, expired, token2, whole}, []string{"", "t1", "", "t2"}, 200, Executed, 2},
		{"an uncertain send keeps its token", booking, []reply{token1, lost, notReady}, []string{"", "t1", "t1", "t1"}, 503, ExecutionUnknown, 3},
		{"an expired token covers an earlier lost send", booking, []reply{token1, lost, expired}, []string{"", "t1", "t1", ""}, 410, NotExecuted, 3},
		{"a caller's own key is never replaced", own, []reply{expired}, []string{"mine", "mine", "mine"}, 410, NotExecuted, 3},
		{"the home's refusal covers an earlier lost send", booking, []reply{token1, lost, shed}, []string{"", "t1", "t1", ""}, 503, NotExecuted, 3},
		{"no token, nothing sent", booking, []reply{lost}, []string{"", "", ""}, 0, NotExecuted, 3},
		{"a refused token means not run", booking, []reply{shed}, []string{"", "", ""}, 503, NotExecuted, 3},
		{"all sends lost", lookup, []reply{lost}, []string{"", "", ""}, 0, ExecutionUnknown, 3},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fake{replies: c.replies}
				client, err := New(nodes, WithTransport(f))
				require.NoError(t, err)
				answer, err := client.Do(t.Context(), c.request)
				var keys []string
				for i, s := range f.seen {
					keys = append(keys, s.key)
					afterToken := i > 0 && f.seen[i-1].path == tokenPath && s.path != tokenPath
					require.Equal(t, i > 0 && afterToken, i > 0 && s.address == f.seen[i-1].address,
						"a request follows its token to the same node; a resend goes to another")
				}
				require.Equal(t, c.keys, keys)
				if c.status == 0 {
					var lost *NoAnswerError
					require.ErrorAs(t, err, &lost)
					require.Equal(t, c.ran, lost.Execution)
					require.Equal(t, c.sends, lost.Attempts)
					return
				}
				require.NoError(t, err)
				require.Equal(t, c.status, answer.Status)
				require.Equal(t, c.ran, answer.Execution)
				require.Equal(t, c.sends, answer.Attempts)
			})
		})
	}
}

func TestRetryAfterIsHonoured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{replies: []reply{shed, whole}}
		client, err := New(nodes, WithTransport(f))
		require.NoError(t, err)
		_, err = client.Do(t.Context(), &Request{Method: "GET", Path: "/", Idempotent: true})
		require.NoError(t, err)
		wait := f.seen[1].at.Sub(f.seen[0].at)
		require.GreaterOrEqual(t, wait, time.Second)
		require.LessOrEqual(t, wait, time.Second+time.Second/2)
	})
}

func TestFinalAnswerComesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, err := New(nodes, WithTransport(&fake{replies: []reply{shed}}))
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		defer cancel()
		start := time.Now()
		answer, err := client.Do(ctx, &Request{Method: "GET", Path: "/", Idempotent: true})
		require.NoError(t, err)
		require.Equal(t, "overloaded", answer.Kind)
		require.Zero(t, time.Since(start), "a wait past the deadline is not begun")
	})
}

func TestSendTimeoutMovesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := reply{status: 200, delay: time.Hour}
		client, err := New(nodes, WithTransport(&fake{replies: []reply{silent, whole}}),
			WithAttemptTimeout(time.Second), WithBackoff(ConstantBackoff(0)))
		require.NoError(t, err)
		start := time.Now()
		answer, err := client.Do(t.Context(), &Request{Method: "GET", Path: "/", Idempotent: true})
		require.NoError(t, err)
		require.Equal(t, 2, answer.Attempts)
		require.Equal(t, time.Second, time.Since(start))
	})
}

func TestPauses(t *testing.T) {
	calm := RetryAfterBackoff(func() float64 { return 0.5 })
	require.Equal(t, 1250*time.Millisecond, calm(1, time.Second))
	require.Equal(t, 62500*time.Microsecond, calm(1, 0))
	require.Equal(t, 250*time.Millisecond, calm(3, 0))
	require.Equal(t, 6250*time.Millisecond, calm(100, 0))
	require.Equal(t, 6250*time.Millisecond, calm(1, time.Hour))
	require.Equal(t, 10*time.Millisecond, ConstantBackoff(10*time.Millisecond)(1, time.Hour))
}

// TestTransportSendsOnce kills the connection of every request but the first,
// which makes the standard transport send replayable requests again.
func TestTransportSendsOnce(t *testing.T) {
	for _, request := range []*Request{
		{Method: "GET", Path: "/", Idempotent: true},
		{Method: "POST", Path: "/", IdempotencyKey: "k"},
		{Method: "POST", Path: "/", IdempotencyKey: "k", Body: []byte("x")},
	} {
		var mu sync.Mutex
		count := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			count++
			first := count == 1
			mu.Unlock()
			if !first {
				c, _, err := w.(http.Hijacker).Hijack()
				require.NoError(t, err)
				require.NoError(t, c.Close())
			}
		}))
		client, err := New([]string{server.Listener.Addr().String()}, WithMaxAttempts(1))
		require.NoError(t, err)
		_, err = client.Do(t.Context(), request)
		require.NoError(t, err)
		_, err = client.Do(t.Context(), request)
		require.Error(t, err)
		require.Equal(t, 2, count, "%s with body %q", request.Method, request.Body)
		client.Close()
		server.Close()
	}
}

func TestBrokenAnswersAreNotAnswers(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			_, _ = io.WriteString(w, strings.Repeat("x", 100))
			return
		}
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
	}))
	defer server.Close()
	client, err := New([]string{server.Listener.Addr().String()}, WithMaxAttempts(2), WithMaxAnswerBytes(99), WithBackoff(ConstantBackoff(0)))
	require.NoError(t, err)
	defer client.Close()
	for _, path := range []string{"/cut", "/long"} {
		_, err = client.Do(t.Context(), &Request{Method: "GET", Path: path, Idempotent: true})
		var lost *NoAnswerError
		require.ErrorAs(t, err, &lost, path)
		require.Equal(t, 2, lost.Attempts)
		require.Equal(t, ExecutionUnknown, lost.Execution)
	}
}

func TestNobodyThere(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	client, err := New([]string{address}, WithBackoff(ConstantBackoff(0)))
	require.NoError(t, err)
	_, err = client.Do(t.Context(), &Request{Method: "POST", Path: "/", IdempotencyKey: "k"})
	var lost *NoAnswerError
	require.ErrorAs(t, err, &lost)
	require.Equal(t, NotExecuted, lost.Execution, "no connection, so nothing was sent")
}

func TestNewChecks(t *testing.T) {
	_, err := New(nil)
	require.Error(t, err)
	_, err = New(nodes, WithMaxAttempts(0))
	require.Error(t, err)
}

// TestWordsAgreeWithNodes holds the names of this public package to the nodes'.
func TestWordsAgreeWithNodes(t *testing.T) {
	require.Equal(t, problem.HeaderKind, headerKind)
	require.Equal(t, problem.HeaderRan, headerRan)
	require.Equal(t, call.HeaderIdempotencyKey, headerKey)
	require.Equal(t, traffic.PathToken, tokenPath)
	require.Equal(t, problem.KindNone.String(), KindNone)
	require.Equal(t, problem.KindTokenExpired.String(), kindTokenExpired)
	require.Equal(t, problem.KindOverloaded.String(), kindOverloaded)
	require.Equal(t, problem.KindOverloadedEverywhere.String(), kindOverloadedEverywhere)
	require.Equal(t, problem.KindUnreachable.String(), kindUnreachable)
	require.Equal(t, problem.KindDeadline.String(), kindDeadline)
	require.Equal(t, problem.KindRetryBudget.String(), kindRetryBudget)
	for ran, word := range map[problem.Execution]Execution{problem.NotExecuted: NotExecuted, problem.Executed: Executed, problem.ExecutionUnknown: ExecutionUnknown} {
		require.Equal(t, ran.String(), string(word))
		require.Equal(t, word, parseRan(ran.String()))
	}
	require.Equal(t, ExecutionUnknown, parseRan("perhaps"))
}
