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

// bench is a platform whose handlers are called without a network.
type bench struct {
	*Platform
	t *testing.T
}

func newBench(t *testing.T, change func(*Settings)) *bench {
	s := &Settings{}
	if change != nil {
		change(s)
	}
	s.fillDefaults()
	return &bench{Platform: New(s, event.NewLog(io.Discard, "standin", "platform", zerolog.InfoLevel)), t: t}
}

// reply is what a reader sees of an answer.
type reply struct {
	status      int
	value       string
	revision    uint64
	keyRevision uint64
	after       time.Duration
	aborted     bool
}

func (b *bench) get(ctx context.Context, target string) (r reply) {
	start := time.Now()
	defer func() {
		r.after = time.Since(start)
		if cause := recover(); cause != nil {
			require.Equal(b.t, http.ErrAbortHandler, cause)
			r.aborted = true
		}
	}()
	w := httptest.NewRecorder()
	b.Handler().ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodGet, target, nil))
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

// read is a plain read.
func (b *bench) read(key string) reply {
	return b.get(b.t.Context(), "/v1/keys/"+key)
}

// watch starts a watch; its answer comes through the channel.
func (b *bench) watch(ctx context.Context, key string, after uint64, wait time.Duration) <-chan reply {
	target := "/v1/keys/" + key + "?after=" + strconv.FormatUint(after, 10) +
		"&waitMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
	answer := make(chan reply, 1)
	go func() { answer <- b.get(ctx, target) }()
	return answer
}

// admin calls the admin handler and returns the status.
func (b *bench) admin(method, target, body string) int {
	w := httptest.NewRecorder()
	b.AdminHandler().ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
	return w.Code
}

func (b *bench) mustPut(key, value string) {
	require.Equal(b.t, http.StatusNoContent, b.admin(http.MethodPut, "/admin/keys/"+key, value))
}

func (b *bench) mustSetMode(body string) {
	require.Equal(b.t, http.StatusNoContent, b.admin(http.MethodPut, "/admin/mode", body))
}

func largeValue(size int) string {
	return string(bytes.Repeat([]byte("x"), size))
}
