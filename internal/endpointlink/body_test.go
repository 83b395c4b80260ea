package endpointlink

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// answerWith reads the head of an answer in which a body stands in some framing.
func answerWith(t *testing.T, framing string, body io.Reader) *http.Response {
	t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+framing+"\r\n"), body)), nil)
	require.NoError(t, err)
	return r
}

func TestBodiesAreReadWhole(t *testing.T) {
	b := newBodies(DefaultBodyBytesMax)
	for _, size := range []int{1, readBufferBytes - 1, readBufferBytes, readBufferBytes + 1, pieceBytes - 1, pieceBytes, pieceBytes + 1, 3*pieceBytes + 7} {
		text := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		chunked := append(fmt.Appendf(nil, "%x\r\n%s\r\n", size, text), "0\r\n\r\n"...)
		for framing, sent := range map[string][]byte{
			fmt.Sprintf("Content-Length: %d\r\n", size): text,
			"Transfer-Encoding: chunked\r\n":            chunked,
			"Connection: close\r\n":                     text,
		} {
			r := answerWith(t, framing, iotest.HalfReader(bytes.NewReader(sent)))
			got, err := b.read(r)
			require.NoError(t, err)
			require.Equal(t, text, got, "%s, %d bytes", framing, size)
			require.NoError(t, r.Body.Close())
		}
		r := answerWith(t, fmt.Sprintf("Content-Length: %d\r\n", size+1), bytes.NewReader(text))
		_, err := b.read(r)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "%d of %d bytes", size, size+1)
		require.NoError(t, r.Body.Close())
	}
	require.Zero(t, b.budget.Used())
}

func TestBodyBeyondTheBudget(t *testing.T) {
	b := newBodies(8 * pieceBytes)
	r := answerWith(t, "Connection: close\r\n", bytes.NewReader(make([]byte, 9*pieceBytes+reserveBytes)))
	defer func() { require.NoError(t, r.Body.Close()) }()
	_, err := b.read(r)
	var large *TooLargeError
	require.ErrorAs(t, err, &large)
	require.Equal(t, "body", large.Part)
	require.Zero(t, b.budget.Used())
}
