package platform

import (
	"bytes"
	"context"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/galenacart/galenacart/internal/event"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// testPlatform is a platform whose handlers are called without a network.
type testPlatform struct {
	*Platform
	t *testing.T
}

// newTestPlatform returns a platform with the default settings, which configure may
// modify. configure may be nil.
func newTestPlatform(t *testing.T, configure func(*Settings)) *testPlatform {
	s := &Settings{}
	if configure != nil {
		configure(s)
	}
	s.applyDefaults()
	return &testPlatform{Platform: New(s, event.NewLog(io.Discard, "standin", "platform", zerolog.InfoLevel)), t: t}
}

// readResult is the outcome of a read or a watch.
type readResult struct {
	status      int
	value       string
	revision    uint64
	keyRevision uint64
	elapsed     time.Duration
	aborted     bool // the handler aborted the connection
}

func (p *testPlatform) get(ctx context.Context, target string) (r readResult) {
	start := time.Now()
	defer func() {
		r.elapsed = time.Since(start)
		if cause := recover(); cause != nil {
			require.Equal(p.t, http.ErrAbortHandler, cause)
			r.aborted = true
		}
	}()
	w := httptest.NewRecorder()
	p.Handler().ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodGet, target, nil))
	r.status = w.Code
	r.revision = parseRevision(w.Header().Get(HeaderRevision))
	r.keyRevision = parseRevision(w.Header().Get(HeaderKeyRevision))
	if r.status == http.StatusOK {
		r.value = w.Body.String()
	}
	return r
}

func parseRevision(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// read reads a key without waiting.
func (p *testPlatform) read(key string) readResult {
	return p.get(p.t.Context(), "/v1/keys/"+key)
}

// watch starts a watch and returns a channel that receives its result.
func (p *testPlatform) watch(ctx context.Context, key string, after uint64, wait time.Duration) <-chan readResult {
	target := "/v1/keys/" + key + "?after=" + strconv.FormatUint(after, 10) +
		"&waitMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
	result := make(chan readResult, 1)
	go func() { result <- p.get(ctx, target) }()
	return result
}

// admin calls the admin handler and returns the HTTP status.
func (p *testPlatform) admin(method, target, body string) int {
	w := httptest.NewRecorder()
	p.AdminHandler().ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
	return w.Code
}

func (p *testPlatform) mustPut(key, value string) {
	require.Equal(p.t, http.StatusNoContent, p.admin(http.MethodPut, "/admin/keys/"+key, value))
}

func (p *testPlatform) mustSetMode(body string) {
	require.Equal(p.t, http.StatusNoContent, p.admin(http.MethodPut, "/admin/mode", body))
}

func largeValue(size int) string {
	return string(bytes.Repeat([]byte("x"), size))
}
