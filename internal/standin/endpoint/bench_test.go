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

// memListener hands in-memory connections to a server.
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
	here, there := net.Pipe()
	select {
	case l.conns <- there:
		return here, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// bench is an endpoint that serves in-memory connections, and its client.
type bench struct {
	*Endpoint
	t        *testing.T
	listener *memListener
	client   *http.Client
	truthLog *safeBuffer
	stop     context.CancelFunc
	ended    chan error
}

// safeBuffer is a buffer that may be read while it is written.
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

// testSettings has one slot, no queue and work of one second.
func testSettings() *Settings {
	return &Settings{
		VM:      "vm-1",
		Service: "stock",
		Slots:   1,
		Routes:  []Route{{Path: "/", ServiceTime: ServiceTime{MeanMs: 1000}}},
	}
}

// start serves an endpoint until the test ends. change may be nil.
func start(t *testing.T, change func(*Settings), o Options) *bench {
	s := testSettings()
	if change != nil {
		change(s)
	}
	s.fillDefaults()
	out := &safeBuffer{}
	log := event.NewLog(io.Discard, "standin", s.VM, zerolog.InfoLevel)
	l := newMemListener()
	ctx, stop := context.WithCancel(context.Background())
	b := &bench{
		Endpoint: New(s, truth.NewLog(out, s.VM, s.Service), log, o),
		t:        t,
		listener: l,
		client:   &http.Client{Transport: &http.Transport{DialContext: l.dial, MaxIdleConnsPerHost: 100}},
		truthLog: out,
		stop:     stop,
		ended:    make(chan error, 1),
	}
	go func() { b.ended <- b.Serve(ctx, l, nil) }()
	t.Cleanup(b.close)
	return b
}

func (b *bench) close() {
	b.client.CloseIdleConnections()
	b.stop()
	require.NoError(b.t, <-b.ended)
}

// outcome is what a caller sees of a call.
type outcome struct {
	status int
	header http.Header
	body   string
	err    error
	after  time.Duration
}

// request builds a call of request "r1". pairs are names and values of headers.
func (b *bench) request(method, target string, pairs ...string) *http.Request {
	r, err := http.NewRequestWithContext(b.t.Context(), method, "http://endpoint"+target, strings.NewReader("body"))
	require.NoError(b.t, err)
	r.Header.Set(HeaderRequest, "r1")
	for i := 0; i+1 < len(pairs); i += 2 {
		r.Header.Set(pairs[i], pairs[i+1])
	}
	return r
}

// do makes a call and waits for its outcome.
func (b *bench) do(r *http.Request) outcome {
	start := time.Now()
	response, err := b.client.Do(r)
	if err != nil {
		return outcome{err: err, after: time.Since(start)}
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return outcome{status: response.StatusCode, header: response.Header, body: string(body), err: err, after: time.Since(start)}
}

// post makes a POST call.
func (b *bench) post(target string, pairs ...string) outcome {
	return b.do(b.request(http.MethodPost, target, pairs...))
}

// begin makes a call whose outcome comes through the channel.
func (b *bench) begin(r *http.Request) <-chan outcome {
	done := make(chan outcome, 1)
	go func() { done <- b.do(r) }()
	return done
}

// records returns the log so far, without the record of the start.
func (b *bench) records() []truth.Record {
	records, err := truth.Read(strings.NewReader(b.truthLog.String()))
	require.NoError(b.t, err)
	require.Equal(b.t, truth.ProcessStarted, records[0].Kind)
	return records[1:]
}

// kinds returns the kinds of the records about one path.
func (b *bench) kinds(path string) []truth.Kind {
	var kinds []truth.Kind
	for _, r := range b.records() {
		if r.Path == path {
			kinds = append(kinds, r.Kind)
		}
	}
	return kinds
}

func (b *bench) wholeAnswer(o outcome) *answer.Response {
	require.NoError(b.t, o.err)
	require.Equal(b.t, http.StatusOK, o.status, o.body)
	a, err := answer.Decode([]byte(o.body), "r1")
	require.NoError(b.t, err)
	return a
}
