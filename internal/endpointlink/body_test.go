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

// responseWithBody returns a response whose head contains framing and whose body is unread.
func responseWithBody(t *testing.T, framing string, body io.Reader) *http.Response {
	t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+framing+"\r\n"), body)), nil)
	require.NoError(t, err)
	return r
}

// blockBytes is a size in the order of the pieces in which bodies are read.
const blockBytes = 32 << 10

func TestBodiesAreReadWhole(t *testing.T) {
	b := newBodyReader(DefaultBodyBytesMax)
	for _, size := range []int{1, readBufferBytes - 1, readBufferBytes, readBufferBytes + 1, blockBytes - 1, blockBytes, blockBytes + 1, 3*blockBytes + 7} {
		text := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		chunked := append(fmt.Appendf(nil, "%x\r\n%s\r\n", size, text), "0\r\n\r\n"...)
		for framing, sent := range map[string][]byte{
			fmt.Sprintf("Content-Length: %d\r\n", size): text,
			"Transfer-Encoding: chunked\r\n":            chunked,
			"Connection: close\r\n":                     text,
		} {
			r := responseWithBody(t, framing, iotest.HalfReader(bytes.NewReader(sent)))
			got, err := b.read(r, nil)
			require.NoError(t, err)
			require.Equal(t, text, got.Bytes(), "%s, %d bytes", framing, size)
			require.NoError(t, r.Body.Close())
		}
		r := responseWithBody(t, fmt.Sprintf("Content-Length: %d\r\n", size+1), bytes.NewReader(text))
		_, err := b.read(r, nil)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "%d of %d bytes", size, size+1)
		require.NoError(t, r.Body.Close())
	}
	require.Zero(t, b.budget.Used())
}

func TestBodyOverTheBudget(t *testing.T) {
	b := newBodyReader(8 * blockBytes)
	r := responseWithBody(t, "Connection: close\r\n", bytes.NewReader(make([]byte, 9*blockBytes+reserveBytes)))
	defer func() { require.NoError(t, r.Body.Close()) }()
	_, err := b.read(r, nil)
	var large *TooLargeError
	require.ErrorAs(t, err, &large)
	require.Equal(t, "body", large.Part)
	require.Zero(t, b.budget.Used())
}
