package traffic

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/problem"
)

// replacePeer makes every node reach a server that answers calls with answer in
// place of the node of vm.
func (f *fleet) replacePeer(vm *testNode, answer func(w http.ResponseWriter, r *call.Reply)) {
	f.t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m, err := call.GetMeta(r.Header)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		answer(w, &call.Reply{Attempt: m.Attempt, Status: http.StatusOK, Incarnation: 7})
	}))
	f.t.Cleanup(s.Close)
	vm.address = s.Listener.Addr().String()
	f.publish()
}

// TestPeerAnswerIsVerified sends answers between nodes whose bodies end cleanly but
// are incomplete or belong to another attempt.
func TestPeerAnswerIsVerified(t *testing.T) {
	cases := []struct {
		desc   string
		answer func(w http.ResponseWriter, r *call.Reply)
	}{
		{"without the hash trailer", func(w http.ResponseWriter, r *call.Reply) {
			_ = call.SetReply(w.Header(), r)
			_, _ = w.Write([]byte("half an ans"))
		}},
		{"with the hash of another body", func(w http.ResponseWriter, r *call.Reply) {
			_ = call.SetReply(w.Header(), r)
			w.Header().Set("Trailer", call.HeaderAnswerHash)
			_, _ = w.Write([]byte("half an ans"))
			w.Header().Set(call.HeaderAnswerHash, formatHash(1))
		}},
		{"to another attempt", func(w http.ResponseWriter, r *call.Reply) {
			r.Attempt[0]++
			_ = call.SetReply(w.Header(), r)
			w.Header().Set("Trailer", call.HeaderAnswerHash)
			w.Header().Set(call.HeaderAnswerHash, formatHash(emptyBodyHash))
		}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			f := newFleet(t)
			deep := f.add("deep-1", "deep", "a", answerWith("answer"))
			entry := f.add("front-1", "front", "a", answerWith(""))
			f.start()
			f.replacePeer(deep, c.answer)
			got := entry.call(t, "GET", "/deep", "", "")
			require.NoError(t, got.err)
			require.Equal(t, problem.KindConnectionLost.String(), got.header.Get(problem.HeaderKind), got.body)
			require.Equal(t, "unknown", got.header.Get(problem.HeaderRan))
		})
	}
}

// emptyBodyHash is the xxHash of an empty body.
const emptyBodyHash = 0xef46db3751d8e999

// TestNewHomeRefusesCallerKeys checks a key that may have been used with an earlier
// process of its home. A process that started more recently than one key lifetime
// ago must start nothing for it.
func TestNewHomeRefusesCallerKeys(t *testing.T) {
	f := newFleet(t)
	f.index.Catalogue().KeyHomes = []string{"front-1"}
	deep := f.add("deep-1", "deep", "a", answerWith("booked"))
	entry := f.add("front-1", "front", "a", answerWith(""))
	f.start()
	got := entry.call(t, "POST", "/deep", "a caller's own key", "")
	require.Equal(t, problem.KindHomeLost.String(), got.header.Get(problem.HeaderKind))
	require.Equal(t, "unknown", got.header.Get(problem.HeaderRan))
	require.Zero(t, deep.runs.Load())
}

// TestNonIdempotentCallIsNotResentByTransport guards against the HTTP transport,
// which by itself resends a request with an idempotency key when a reused
// connection breaks. The requests of a node must prevent that.
func TestNonIdempotentCallIsNotResentByTransport(t *testing.T) {
	f := newFleet(t)
	deep := f.add("deep-1", "deep", "a", func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			panic(http.ErrAbortHandler)
		}
	})
	f.start()
	require.Equal(t, http.StatusOK, deep.call(t, "GET", "/deep", "", "").status, "leaves an idle connection")
	got := deep.call(t, "POST", "/deep", requestToken(t, deep), "")
	require.Equal(t, "unknown", got.header.Get(problem.HeaderRan), got.body)
	require.EqualValues(t, 2, deep.runs.Load(), "one lookup and one booking")
}
