package endpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/standin/answer"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// memListener is a listener for in-memory connections.
type memListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newMemListener() *memListener {
	return &memListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memListener) Addr() net.Addr {
	return &net.UnixAddr{Name: "memory"}
}

func (l *memListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// testEndpoint is an endpoint that serves in-memory connections, with a client.
type testEndpoint struct {
	*Endpoint
	t        *testing.T
	listener *memListener
	client   *http.Client
	truthLog *safeBuffer
	stop     context.CancelFunc
	serveErr chan error
}

// safeBuffer is a buffer that is safe for concurrent use.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(b)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// testSettings returns settings with one slot, no queue and a service time of one
// second.
func testSettings() *Settings {
	return &Settings{
		VM:      "vm-1",
		Service: "stock",
		Slots:   1,
		Routes:  []Route{{Path: "/", ServiceTime: ServiceTime{MeanMs: 1000}}},
	}
}

// startEndpoint serves an endpoint until the test ends. configure may be nil.
func startEndpoint(t *testing.T, configure func(*Settings), o Options) *testEndpoint {
	s := testSettings()
	if configure != nil {
		configure(s)
	}
	s.applyDefaults()
	out := &safeBuffer{}
	log := event.NewLog(io.Discard, "standin", s.VM, zerolog.InfoLevel)
	l := newMemListener()
	ctx, stop := context.WithCancel(context.Background())
	e := &testEndpoint{
		Endpoint: New(s, truth.NewLog(out, s.VM, s.Service), log, o),
		t:        t,
		listener: l,
		client:   &http.Client{Transport: &http.Transport{DialContext: l.dial, MaxIdleConnsPerHost: 100}},
		truthLog: out,
		stop:     stop,
		serveErr: make(chan error, 1),
	}
	go func() { e.serveErr <- e.Serve(ctx, l, nil) }()
	t.Cleanup(e.close)
	return e
}

func (e *testEndpoint) close() {
	e.client.CloseIdleConnections()
	e.stop()
	require.NoError(e.t, <-e.serveErr)
}

// outcome is the result of a call for its caller.
type outcome struct {
	status  int
	header  http.Header
	body    string
	err     error
	elapsed time.Duration
}

// request returns an HTTP request with the request ID "r1". pairs holds names and
// values of further headers.
func (e *testEndpoint) request(method, target string, pairs ...string) *http.Request {
	r, err := http.NewRequestWithContext(e.t.Context(), method, "http://endpoint"+target, strings.NewReader("body"))
	require.NoError(e.t, err)
	r.Header.Set(HeaderRequest, "r1")
	for i := 0; i+1 < len(pairs); i += 2 {
		r.Header.Set(pairs[i], pairs[i+1])
	}
	return r
}

// do makes a call and returns its outcome.
func (e *testEndpoint) do(r *http.Request) outcome {
	start := time.Now()
	response, err := e.client.Do(r)
	if err != nil {
		return outcome{err: err, elapsed: time.Since(start)}
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return outcome{status: response.StatusCode, header: response.Header, body: string(body), err: err, elapsed: time.Since(start)}
}

// post makes a POST call.
func (e *testEndpoint) post(target string, pairs ...string) outcome {
	return e.do(e.request(http.MethodPost, target, pairs...))
}

// doAsync starts a call and returns a channel that receives its outcome.
func (e *testEndpoint) doAsync(r *http.Request) <-chan outcome {
	result := make(chan outcome, 1)
	go func() { result <- e.do(r) }()
	return result
}

// records returns the records so far, without the first one (ProcessStarted).
func (e *testEndpoint) records() []truth.Record {
	records, err := truth.Read(strings.NewReader(e.truthLog.String()))
	require.NoError(e.t, err)
	require.Equal(e.t, truth.ProcessStarted, records[0].Kind)
	return records[1:]
}

// kinds returns the kinds of the records of one path.
func (e *testEndpoint) kinds(path string) []truth.Kind {
	var kinds []truth.Kind
	for _, r := range e.records() {
		if r.Path == path {
			kinds = append(kinds, r.Kind)
		}
	}
	return kinds
}

// decodeResponse requires a successful outcome with a complete response.
func (e *testEndpoint) decodeResponse(o outcome) *answer.Response {
	require.NoError(e.t, o.err)
	require.Equal(e.t, http.StatusOK, o.status, o.body)
	a, err := answer.Decode([]byte(o.body), "r1")
	require.NoError(e.t, err)
	return a
}
