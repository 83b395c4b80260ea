package endpointlink

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The answers to the requests a and b, of equal length, and refusals of a.
const (
	ofA          = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSeal: s\r\nContent-Length: 2\r\n\r\naa"
	ofB          = "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nSeal: s\r\nContent-Length: 2\r\n\r\nbb"
	refusalOfA   = "HTTP/1.1 503 X\r\nRequest-Id: a\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	refusal      = "HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	misdirection = "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"
)

// TestLateCopyReachesNoOther plays an endpoint that sends its first answer once
// more, when the connection is in use again.
func TestLateCopyReachesNoOther(t *testing.T) {
	tests := []struct {
		desc  string
		first string
		next  string // ID of the next request
		late  func(w io.Writer, copied string)
	}{
		{"whole, of equal length", ofA, "b", func(w io.Writer, copied string) { say(w, copied) }},
		{"split over packets", ofA, "b", func(w io.Writer, copied string) {
			for _, part := range []string{copied[:5], copied[5:20], copied[20 : len(copied)-1], copied[len(copied)-1:]} {
				say(w, part)
				time.Sleep(5 * time.Millisecond)
			}
		}},
		{"twice", ofA, "b", func(w io.Writer, copied string) { say(w, copied+copied) }},
		{"of a refusal", refusalOfA, "b", func(w io.Writer, copied string) { say(w, copied) }},
		{"of a refusal, to the same request when it is sent again", refusalOfA, "a", func(w io.Writer, copied string) { say(w, copied) }},
		{"of a refusal without an ID", refusal, "b", func(w io.Writer, copied string) { say(w, copied) }},
		{"of a misdirection without an ID", misdirection, "b", func(w io.Writer, copied string) { say(w, copied) }},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			own := map[string]string{"a": ofA, "b": ofB}[test.next]
			first := true
			e := serve(t, func(w io.Writer, n int) bool {
				if first {
					first = false
					return say(w, test.first)
				}
				if n > 1 {
					test.late(w, test.first) // where the answer to another is due
				}
				return say(w, own)
			})
			p := New(e.address, testHeaders(), Bounds{})
			defer p.Close()
			_, _, _ = p.Do(t.Context(), callOf("a"))
			a, fate, err := p.Do(t.Context(), callOf(test.next))
			require.Equal(t, Answered, fate, "the endpoint ran it: %v", err)
			require.Equal(t, test.next+test.next, string(a.Body))
		})
	}
}

// TestCopyBeforeTheNextRequest plays a copy that lies on the connection when it is to
// be used again.
func TestCopyBeforeTheNextRequest(t *testing.T) {
	e := serve(t, func(w io.Writer, _ int) bool {
		if w.(turn).id == "b" {
			return say(w, ofB)
		}
		say(w, ofA)
		time.Sleep(5 * time.Millisecond)
		return say(w, ofA)
	})
	p := New(e.address, testHeaders(), Bounds{})
	defer p.Close()
	_, fate, err := p.Do(t.Context(), callOf("a"))
	require.Equal(t, Answered, fate, "%v", err)
	require.Eventually(t, func() bool { return !p.idle[0].quiet() }, time.Second, time.Millisecond)
	a, fate, err := p.Do(t.Context(), callOf("b"))
	require.Equal(t, Answered, fate, "%v", err)
	require.Equal(t, "bb", string(a.Body))
	require.EqualValues(t, 2, e.connections.Load())
}

// FuzzAnswer reads what an endpoint may answer. Nothing but the request's own answer
// with a seal passes for a success.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		ofA, ofB + ofA, refusal, refusalOfA, misdirection, "\x00\x01\r\n\r\n", "HTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSeal: s\r\nKeep-Alive: timeout=99999999999999999999, max=1\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(far)) // any request gets these bytes
			_, _ = far.Write(data)
			_ = far.Close()
		}()
		p := New("", testHeaders(), Bounds{})
		p.dial = func(context.Context, string) (net.Conn, error) { return near, nil }
		defer p.Close()
		a, fate, err := p.Do(t.Context(), callOf("a"))
		require.Equal(t, fate == Answered, err == nil)
		require.Equal(t, fate == Answered, a != nil)
		if a != nil && a.Status < 300 {
			require.Equal(t, "a", a.Header.Get("Request-Id"))
			require.NotEmpty(t, a.Header.Get("Seal"))
		}
	})
}
