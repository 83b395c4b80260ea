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

// Responses of equal length to the requests a and b, and refusals of request a.
const (
	responseA    = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSeal: s\r\nContent-Length: 2\r\n\r\naa"
	responseB    = "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nSeal: s\r\nContent-Length: 2\r\n\r\nbb"
	refusalA     = "HTTP/1.1 503 X\r\nRequest-Id: a\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	refusal      = "HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	misdirection = "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"
)

// TestLateDuplicateResponseIsNotUsedForAnotherRequest runs an endpoint that sends its first
// response a second time while the connection carries the next request.
func TestLateDuplicateResponseIsNotUsedForAnotherRequest(t *testing.T) {
	tests := []struct {
		desc  string
		first string
		next  string // ID of the next request
		late  func(w io.Writer, duplicate string)
	}{
		{"whole, of equal length", responseA, "b", func(w io.Writer, duplicate string) { writeText(w, duplicate) }},
		{"split over packets", responseA, "b", func(w io.Writer, duplicate string) {
			for _, part := range []string{duplicate[:5], duplicate[5:20], duplicate[20 : len(duplicate)-1], duplicate[len(duplicate)-1:]} {
				writeText(w, part)
				time.Sleep(5 * time.Millisecond)
			}
		}},
		{"twice", responseA, "b", func(w io.Writer, duplicate string) { writeText(w, duplicate+duplicate) }},
		{"of a refusal", refusalA, "b", func(w io.Writer, duplicate string) { writeText(w, duplicate) }},
		{"of a refusal, while the same request is retried", refusalA, "a", func(w io.Writer, duplicate string) { writeText(w, duplicate) }},
		{"of a refusal without an ID", refusal, "b", func(w io.Writer, duplicate string) { writeText(w, duplicate) }},
		{"of a misdirection without an ID", misdirection, "b", func(w io.Writer, duplicate string) { writeText(w, duplicate) }},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			own := map[string]string{"a": responseA, "b": responseB}[test.next]
			first := true
			e := serve(t, func(w io.Writer, n int) bool {
				if first {
					first = false
					return writeText(w, test.first)
				}
				if n > 1 {
					test.late(w, test.first) // ahead of the response to the next request
				}
				return writeText(w, own)
			})
			p := New(e.address, testHeaders(), Bounds{})
			defer p.Close()
			_, _, _ = p.Do(t.Context(), newCall("a"))
			a, outcome, err := p.Do(t.Context(), newCall(test.next))
			require.Equal(t, Answered, outcome, "the endpoint ran it: %v", err)
			require.Equal(t, test.next+test.next, a.Body.String())
		})
	}
}

// TestRefusalWithoutIDOnAKeptConnectionProvesNothing guards against a client that is told that its
// request has not run because an unsolicited refusal, which names no request, arrived before the
// answer.
func TestRefusalWithoutIDOnAKeptConnectionProvesNothing(t *testing.T) {
	tests := []struct{ desc, unsolicited string }{
		{"a refusal", refusal},
		{"a misdirection", misdirection},
		{"a bad request", "HTTP/1.1 400 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"},
		{"too many requests", "HTTP/1.1 429 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"},
		{"with an empty ID", "HTTP/1.1 503 X\r\nRequest-Id:\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"},
		{"behind an informational response", "HTTP/1.1 100 Continue\r\n\r\n" + refusal},
		{"behind a duplicate", responseA + refusal},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			e := serve(t, func(w io.Writer, n int) bool {
				if n == 1 {
					return writeText(w, responseA)
				}
				return writeText(w, test.unsolicited+responseB) // the endpoint runs the request
			})
			p := New(e.address, testHeaders(), Bounds{})
			defer p.Close()
			_, outcome, err := p.Do(t.Context(), newCall("a"))
			require.Equal(t, Answered, outcome, "%v", err)
			_, outcome, err = p.Do(t.Context(), newCall("b"))
			require.Equal(t, Unknown, outcome)
			require.ErrorIs(t, err, ErrResponseMismatch)
			require.EqualValues(t, 1, e.connections.Load())
			require.Empty(t, p.idle, "the connection is not used again")
		})
	}
}

// TestRequestWithoutIDUsesANewConnection guards against an unsolicited response that is taken for the
// response to a request without an ID.
func TestRequestWithoutIDUsesANewConnection(t *testing.T) {
	e := serve(t, func(w io.Writer, n int) bool {
		switch {
		case n > 1:
			return writeText(w, refusal) // unsolicited
		case w.(pendingRequest).id == "a":
			return writeText(w, responseA)
		default:
			return false
		}
	})
	p := New(e.address, testHeaders(), Bounds{})
	defer p.Close()
	_, outcome, err := p.Do(t.Context(), newCall("a"))
	require.Equal(t, Answered, outcome, "%v", err)
	_, outcome, _ = p.Do(t.Context(), newCall(""))
	require.Equal(t, Unknown, outcome)
	require.EqualValues(t, 2, e.connections.Load())
}

// TestRefusalWithoutIDOnANewConnectionIsProof has an endpoint refuse the first request of a
// connection without repeating its ID. No earlier request can have caused the refusal.
func TestRefusalWithoutIDOnANewConnectionIsProof(t *testing.T) {
	e := serve(t, func(w io.Writer, _ int) bool { return writeText(w, refusal) })
	p := New(e.address, testHeaders(), Bounds{})
	defer p.Close()
	_, outcome, err := p.Do(t.Context(), newCall("a"))
	require.Equal(t, NotRun, outcome)
	require.ErrorIs(t, err, ErrRefused)
}

// TestAnswerThatEndsEarlyIsNoAnswer guards against a response that looks whole although the endpoint
// stopped in the middle of it.
func TestAnswerThatEndsEarlyIsNoAnswer(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSeal: s\r\n"
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
		refused = "HTTP/1.1 503 X\r\nRequest-Id: a\r\nNot-Started: 1\r\n"
	)
	tests := []struct{ desc, sent string }{
		{"nothing", ""},
		{"in the version", "HTTP/1."},
		{"in the status line", "HTTP/1.1 20"},
		{"after the status line", "HTTP/1.1 200 OK\r\n"},
		{"status line and an empty line", "HTTP/1.1 200 OK\r\n\r\n"},
		{"in a header name", ok + "Content-Le"},
		{"in a header value", ok + "Content-Length: 1"},
		{"in the value of the seal", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSeal: s"},
		{"between carriage return and line feed", ok + "\r"},
		{"before the empty line", ok},
		{"before the empty line, with a length of 0", ok + "Content-Length: 0\r\n"},
		{"before the body", ok + "Content-Length: 2\r\n\r\n"},
		{"in the body", ok + "Content-Length: 2\r\n\r\na"},
		{"before the first chunk", chunked},
		{"in the size of a chunk", chunked + "2"},
		{"in a chunk", chunked + "2\r\na"},
		{"before the last chunk", chunked + "2\r\naa\r\n"},
		{"in the last chunk", chunked + "2\r\naa\r\n0\r\n"},
		{"after an informational head", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"in the head after an informational one", "HTTP/1.1 100 Continue\r\n\r\n" + ok},
		{"in the head of a refusal", refused},
		{"in the head of a misdirection", "HTTP/1.1 421 X\r\nRequest-Id: a\r\n"},
		{"in the body of a refusal", refused + "Content-Length: 2\r\n\r\na"},
		{"in the head behind a whole answer to another request", responseB + ok},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			e := serve(t, func(w io.Writer, _ int) bool {
				writeText(w, test.sent)
				return false
			})
			p := New(e.address, testHeaders(), Bounds{})
			defer p.Close()
			a, outcome, err := p.Do(t.Context(), newCall("a"))
			require.Equal(t, Unknown, outcome)
			require.Error(t, err)
			require.Nil(t, a)
			require.Empty(t, p.idle)
		})
	}
}

// TestDuplicateResponseBeforeTheNextRequest covers a duplicate that is already unread on the
// connection when the next request needs one.
func TestDuplicateResponseBeforeTheNextRequest(t *testing.T) {
	e := serve(t, func(w io.Writer, _ int) bool {
		if w.(pendingRequest).id == "b" {
			return writeText(w, responseB)
		}
		writeText(w, responseA)
		time.Sleep(5 * time.Millisecond)
		return writeText(w, responseA)
	})
	p := New(e.address, testHeaders(), Bounds{})
	defer p.Close()
	_, outcome, err := p.Do(t.Context(), newCall("a"))
	require.Equal(t, Answered, outcome, "%v", err)
	require.Eventually(t, func() bool { return !p.idle[0].openWithoutData() }, time.Second, time.Millisecond)
	a, outcome, err := p.Do(t.Context(), newCall("b"))
	require.Equal(t, Answered, outcome, "%v", err)
	require.Equal(t, "bb", a.Body.String())
	require.EqualValues(t, 2, e.connections.Load())
}

// FuzzAnswer feeds arbitrary bytes as the endpoint's response. Only a response with the
// request's ID and a seal may count as a success.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		responseA, responseB + responseA, refusal, refusalA, misdirection, "\x00\x01\r\n\r\n", "HTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSeal: s\r\nKeep-Alive: timeout=99999999999999999999, max=1\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		clientSide, endpointSide := net.Pipe()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(endpointSide)) // any request gets these bytes
			_, _ = endpointSide.Write(data)
			_ = endpointSide.Close()
		}()
		p := New("", testHeaders(), Bounds{})
		p.dial = func(context.Context, string) (net.Conn, error) { return clientSide, nil }
		defer p.Close()
		a, outcome, err := p.Do(t.Context(), newCall("a"))
		require.Equal(t, outcome == Answered, err == nil)
		require.Equal(t, outcome == Answered, a != nil)
		if a != nil && a.Status < 300 {
			require.Equal(t, "a", a.Header.Get("Request-Id"))
			require.NotEmpty(t, a.Header.Get("Seal"))
		}
	})
}
