package traffic

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/problem"
)

// impostor makes every node reach VM vm at a server that answers calls as
// answer says, in place of the VM's node.
func (f *fleet) impostor(vm *testNode, answer func(w http.ResponseWriter, r *call.Reply)) {
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

// Answers between nodes that end cleanly and are none the less not the whole
// answer to the call.
func TestAnswerOfANodeIsProvedWholeAndOwn(t *testing.T) {
	cases := []struct {
		desc   string
		answer func(w http.ResponseWriter, r *call.Reply)
	}{
		{"without the end mark", func(w http.ResponseWriter, r *call.Reply) {
			_ = call.SetReply(w.Header(), r)
			_, _ = w.Write([]byte("half an ans"))
		}},
		{"with the end mark of another body", func(w http.ResponseWriter, r *call.Reply) {
			_ = call.SetReply(w.Header(), r)
			w.Header().Set("Trailer", call.HeaderAnswerHash)
			_, _ = w.Write([]byte("half an ans"))
			w.Header().Set(call.HeaderAnswerHash, formatHash(1))
		}},
		{"to another attempt", func(w http.ResponseWriter, r *call.Reply) {
			r.Attempt[0]++
			_ = call.SetReply(w.Header(), r)
			w.Header().Set("Trailer", call.HeaderAnswerHash)
			w.Header().Set(call.HeaderAnswerHash, formatHash(emptySum))
		}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			f := newFleet(t)
			deep := f.add("deep-1", "deep", "a", answerWith("answer"))
			entry := f.add("front-1", "front", "a", answerWith(""))
			f.start()
			f.impostor(deep, c.answer)
			got := entry.call(t, "GET", "/deep", "", "")
			require.NoError(t, got.err)
			require.Equal(t, problem.KindConnectionLost.String(), got.header.Get(problem.HeaderKind), got.body)
			require.Equal(t, "unknown", got.header.Get(problem.HeaderRan))
		})
	}
}

// emptySum is the hash of an empty body.
const emptySum = 0xef46db3751d8e999

// A caller's own key may have been used with an earlier process of its home. A
// process that is younger than the key may be starts nothing.
func TestYoungHomeStartsNothingForACallersOwnKey(t *testing.T) {
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

// The HTTP client resends a request with an idempotency key on its own when a
// connection that it used before breaks. A node's requests must not allow it.
func TestBookingIsNotResentByTheClient(t *testing.T) {
	f := newFleet(t)
	deep := f.add("deep-1", "deep", "a", func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			panic(http.ErrAbortHandler)
		}
	})
	f.start()
	require.Equal(t, http.StatusOK, deep.call(t, "GET", "/deep", "", "").status, "leaves an idle connection")
	got := deep.call(t, "POST", "/deep", takeToken(t, deep), "")
	require.Equal(t, "unknown", got.header.Get(problem.HeaderRan), got.body)
	require.EqualValues(t, 2, deep.runs.Load(), "one lookup and one booking")
}
