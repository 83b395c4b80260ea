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

// reply is the result of one request to the fake transport.
type reply struct {
	status     int
	kind       string
	execution  string
	retryAfter string // in seconds
	body       string
	err        error
	delay      time.Duration
}

// received is one request that the fake transport received.
type received struct {
	address, method, path, key string
	at                         time.Time
}

// fakeTransport returns replies in order; the last one repeats.
type fakeTransport struct {
	mu       sync.Mutex
	replies  []reply
	received []received
}

func (f *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	_, _ = io.Copy(io.Discard, r.Body)
	f.mu.Lock()
	f.received = append(f.received, received{r.URL.Host, r.Method, r.URL.Path, r.Header.Get("Idempotency-Key"), time.Now()})
	next := f.replies[0]
	if len(f.replies) > 1 {
		f.replies = f.replies[1:]
	}
	f.mu.Unlock()
	if !wait.For(r.Context(), next.delay) {
		return nil, r.Context().Err()
	}
	if next.err != nil {
		return nil, next.err
	}
	h := http.Header{}
	for name, value := range map[string]string{headerKind: next.kind, headerExecution: next.execution, headerRetryAfter: next.retryAfter} {
		if value != "" {
			h.Set(name, value)
		}
	}
	return &http.Response{StatusCode: next.status, Header: h, Body: io.NopCloser(strings.NewReader(next.body))}, nil
}

var (
	nodes        = []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
	firstToken   = reply{status: 200, body: `{"token":"t1","lifetimeMs":1000}`}
	secondToken  = reply{status: 200, body: `{"token":"t2","lifetimeMs":1000}`}
	success      = reply{status: 200, body: "success"}
	overloaded   = reply{status: 503, kind: "overloaded", execution: "no", retryAfter: "1"}
	notReady     = reply{status: 503, kind: "not_ready", execution: "no", retryAfter: "1"}
	homeLost     = reply{status: 409, kind: "home_gone", execution: "unknown"}
	expiredToken = reply{status: 410, kind: "token_expired", execution: "no"}
	noAnswer     = reply{err: errors.New("connection reset")}
	notFound     = reply{status: 404, body: "not found"}
)

func TestDo(t *testing.T) {
	booking := &Request{Method: "POST", Path: "/bookings", Body: []byte("x")}
	lookup := &Request{Method: "GET", Path: "/fault-logs", Idempotent: true}
	ownKey := &Request{Method: "POST", Path: "/bookings", IdempotencyKey: "mine"}
	cases := []struct {
		desc    string
		request *Request
		replies []reply
		keys    []string // of each request; a token request has none
		status  int      // 0: no answer
		ran     Execution
		sends   int
	}{
		{"idempotent request needs no token", lookup, []reply{success}, []string{""}, 200, Executed, 1},
		{"other request fetches a token first", booking, []reply{firstToken, success}, []string{"", "t1"}, 200, Executed, 1},
		{"caller's own key is used", ownKey, []reply{success}, []string{"mine"}, 200, Executed, 1},
		{"retry after a lost connection keeps the token", booking, []reply{firstToken, noAnswer, success}, []string{"", "t1", "t1"}, 200, Executed, 2},
		{"refused token is replaced", booking, []reply{firstToken, overloaded, secondToken, success}, []string{"", "t1", "", "t2"}, 200, Executed, 2},
		{"endpoint's error is final", lookup, []reply{notFound}, []string{""}, 404, Executed, 1},
		{"error kind without Retry-After is final", booking, []reply{firstToken, homeLost}, []string{"", "t1"}, 409, ExecutionUnknown, 1},
		{"attempts are bounded", booking, []reply{firstToken, overloaded}, []string{"", "t1", "", ""}, 503, NotExecuted, 3},
		{"expired token whose request did not run is replaced", booking, []reply{firstToken, expiredToken, secondToken, success}, []string{"", "t1", "", "t2"}, 200, Executed, 2},
		{"attempt with unknown outcome keeps the token", booking, []reply{firstToken, noAnswer, notReady}, []string{"", "t1", "t1", "t1"}, 503, ExecutionUnknown, 3},
		{"expired token proves that an earlier lost attempt did not run", booking, []reply{firstToken, noAnswer, expiredToken}, []string{"", "t1", "t1", ""}, 410, NotExecuted, 3},
		{"caller's own key is never replaced", ownKey, []reply{expiredToken}, []string{"mine", "mine", "mine"}, 410, NotExecuted, 3},
		{"refusal by the token's node proves that an earlier lost attempt did not run", booking, []reply{firstToken, noAnswer, overloaded}, []string{"", "t1", "t1", ""}, 503, NotExecuted, 3},
		{"request is not sent without a token", booking, []reply{noAnswer}, []string{"", "", ""}, 0, NotExecuted, 3},
		{"refused token request means not executed", booking, []reply{overloaded}, []string{"", "", ""}, 503, NotExecuted, 3},
		{"all connections lost", lookup, []reply{noAnswer}, []string{"", "", ""}, 0, ExecutionUnknown, 3},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeTransport{replies: c.replies}
				client, err := New(nodes, WithTransport(f))
				require.NoError(t, err)
				answer, err := client.Do(t.Context(), c.request)
				var keys []string
				for i, r := range f.received {
					keys = append(keys, r.key)
					afterToken := i > 0 && f.received[i-1].path == tokenPath && r.path != tokenPath
					require.Equal(t, i > 0 && afterToken, i > 0 && r.address == f.received[i-1].address,
						"the request after a token goes to the same node, a retry to another one")
				}
				require.Equal(t, c.keys, keys)
				if c.status == 0 {
					var noAnswer *NoAnswerError
					require.ErrorAs(t, err, &noAnswer)
					require.Equal(t, c.ran, noAnswer.Execution)
					require.Equal(t, c.sends, noAnswer.Attempts)
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
		f := &fakeTransport{replies: []reply{overloaded, success}}
		client, err := New(nodes, WithTransport(f))
		require.NoError(t, err)
		_, err = client.Do(t.Context(), &Request{Method: "GET", Path: "/", Idempotent: true})
		require.NoError(t, err)
		wait := f.received[1].at.Sub(f.received[0].at)
		require.GreaterOrEqual(t, wait, time.Second)
		require.LessOrEqual(t, wait, time.Second+time.Second/2)
	})
}

func TestDoReturnsWithoutWaitingPastDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, err := New(nodes, WithTransport(&fakeTransport{replies: []reply{overloaded}}))
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		defer cancel()
		start := time.Now()
		answer, err := client.Do(ctx, &Request{Method: "GET", Path: "/", Idempotent: true})
		require.NoError(t, err)
		require.Equal(t, "overloaded", answer.Kind)
		require.Zero(t, time.Since(start), "no wait that would end after the deadline")
	})
}

func TestAttemptTimeoutStartsNextAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := reply{status: 200, delay: time.Hour}
		client, err := New(nodes, WithTransport(&fakeTransport{replies: []reply{silent, success}}),
			WithAttemptTimeout(time.Second), WithBackoff(ConstantBackoff(0)))
		require.NoError(t, err)
		start := time.Now()
		answer, err := client.Do(t.Context(), &Request{Method: "GET", Path: "/", Idempotent: true})
		require.NoError(t, err)
		require.Equal(t, 2, answer.Attempts)
		require.Equal(t, time.Second, time.Since(start))
	})
}

func TestBackoff(t *testing.T) {
	backoff := RetryAfterBackoff(func() float64 { return 0.5 })
	require.Equal(t, 1250*time.Millisecond, backoff(1, time.Second))
	require.Equal(t, 62500*time.Microsecond, backoff(1, 0))
	require.Equal(t, 250*time.Millisecond, backoff(3, 0))
	require.Equal(t, 6250*time.Millisecond, backoff(100, 0))
	require.Equal(t, 6250*time.Millisecond, backoff(1, time.Hour))
	require.Equal(t, 10*time.Millisecond, ConstantBackoff(10*time.Millisecond)(1, time.Hour))
}

// TestTransportDoesNotResend closes the connection of every request but the first,
// after which the standard transport resends replayable requests.
func TestTransportDoesNotResend(t *testing.T) {
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

func TestIncompleteOrOversizedAnswerIsError(t *testing.T) {
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
		var noAnswer *NoAnswerError
		require.ErrorAs(t, err, &noAnswer, path)
		require.Equal(t, 2, noAnswer.Attempts)
		require.Equal(t, ExecutionUnknown, noAnswer.Execution)
	}
}

func TestRefusedConnectionMeansNotExecuted(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	client, err := New([]string{address}, WithBackoff(ConstantBackoff(0)))
	require.NoError(t, err)
	_, err = client.Do(t.Context(), &Request{Method: "POST", Path: "/", IdempotencyKey: "k"})
	var noAnswer *NoAnswerError
	require.ErrorAs(t, err, &noAnswer)
	require.Equal(t, NotExecuted, noAnswer.Execution, "a refused connection proves that nothing was sent")
}

func TestNewRejectsInvalidOptions(t *testing.T) {
	_, err := New(nil)
	require.Error(t, err)
	_, err = New(nodes, WithMaxAttempts(0))
	require.Error(t, err)
}

// TestConstantsMatchInternalPackages checks that the constants of this package,
// which imports none of the nodes' packages, have the values that nodes use.
func TestConstantsMatchInternalPackages(t *testing.T) {
	require.Equal(t, problem.HeaderKind, headerKind)
	require.Equal(t, problem.HeaderRan, headerExecution)
	require.Equal(t, call.HeaderIdempotencyKey, headerKey)
	require.Equal(t, traffic.PathToken, tokenPath)
	require.Equal(t, problem.KindNone.String(), KindNone)
	require.Equal(t, problem.KindTokenExpired.String(), kindTokenExpired)
	require.Equal(t, problem.KindOverloaded.String(), kindOverloaded)
	require.Equal(t, problem.KindOverloadedEverywhere.String(), kindOverloadedEverywhere)
	require.Equal(t, problem.KindUnreachable.String(), kindUnreachable)
	require.Equal(t, problem.KindDeadline.String(), kindDeadline)
	require.Equal(t, problem.KindRetryBudget.String(), kindRetryBudget)
	for internal, public := range map[problem.Execution]Execution{problem.NotExecuted: NotExecuted, problem.Executed: Executed, problem.ExecutionUnknown: ExecutionUnknown} {
		require.Equal(t, internal.String(), string(public))
		require.Equal(t, public, parseExecution(internal.String()))
	}
	require.Equal(t, ExecutionUnknown, parseExecution("perhaps"))
}
