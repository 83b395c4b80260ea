package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestClientClassifiesFailures(t *testing.T) {
	cases := []struct {
		desc   string
		answer http.HandlerFunc
		want   Reason
	}{
		{"down", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, ReasonUnavailable},
		{"over the limit", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }, ReasonRateLimited},
		{"no such key", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, ReasonNotFound},
		{"unchanged", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotModified) }, ReasonUnchanged},
		{"no revision", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }, ReasonInvalidAnswer},
		{"too large", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderKeyRevision, "7")
			_, _ = w.Write([]byte(strings.Repeat("x", MaxValueBytes+1)))
		}, ReasonInvalidAnswer},
		{"truncated", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderKeyRevision, "7")
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("{}"))
		}, ReasonUnreachable},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			server := httptest.NewServer(c.answer)
			defer server.Close()
			client := NewClient([]string{server.Listener.Addr().String()}, server.Client())
			_, err := client.Watch(context.Background(), KeyVMs, 3, time.Second)
			require.Error(t, err)
			require.Equal(t, c.want, ReasonOf(err))
		})
	}
}

func TestClientFailsOverToNextAddress(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "/v1/keys/catalogue", r.URL.Path)
		w.Header().Set(HeaderKeyRevision, "7")
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	client := NewClient([]string{closed.Listener.Addr().String(), server.Listener.Addr().String()}, server.Client())
	_, err := client.Get(context.Background(), KeyCatalogue)
	require.Equal(t, ReasonNoConnection, ReasonOf(err))
	value, err := client.Get(context.Background(), KeyCatalogue)
	require.NoError(t, err)
	require.Equal(t, &Value{Data: []byte("{}"), Revision: 7}, value)
}
