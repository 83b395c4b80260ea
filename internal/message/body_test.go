package message

import (
	"bytes"
	"io"
	"math"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestReadBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.IntRange(0, 3*PieceBytes).Draw(t, "sent")
		limit := rapid.IntRange(0, 3*PieceBytes).Draw(t, "limit")
		announced := rapid.SampledFrom([]int{sent, sent + 1, UnknownLength}).Draw(t, "announced")
		data := bytes.Repeat([]byte("0123456789a"), sent/11+1)[:sent]
		allocated := 0
		body, err := ReadBody(iotest.HalfReader(bytes.NewReader(data)), int64(announced), int64(limit), func(n int) bool {
			allocated += n
			return true
		})
		require.LessOrEqual(t, allocated, 2*sent+PieceBytes, "what is allocated stays in proportion to what arrives")
		switch {
		case announced > limit, announced == UnknownLength && sent > limit:
			require.ErrorIs(t, err, ErrBodyTooLarge)
		case announced > sent:
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		default:
			require.NoError(t, err)
			require.Equal(t, string(data), body.String())
			require.Equal(t, sent, body.Len())
		}
	})
}

func TestReadBodyThatIsCutOff(t *testing.T) {
	for _, length := range []int64{UnknownLength, 10} {
		_, err := ReadBody(io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), length, math.MaxInt64, func(int) bool { return true })
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "a chunked body that is cut off is not whole")
	}
}

func TestReadBodyWithoutMemory(t *testing.T) {
	left := PieceBytes
	_, err := ReadBody(strings.NewReader(strings.Repeat("x", 3*PieceBytes)), UnknownLength, math.MaxInt64, func(n int) bool {
		left -= n
		return left >= 0
	})
	require.ErrorIs(t, err, ErrNoMemory)
}

func TestCutBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var body Body
		for _, text := range rapid.SliceOfN(rapid.StringN(1, 20, -1), 1, 5).Draw(t, "pieces") {
			body = append(body, []byte(text))
		}
		whole, max := body.String(), rapid.IntRange(1, 30).Draw(t, "max")
		var got []byte
		for rest := body; len(rest) > 0; {
			var piece []byte
			piece, rest = rest.Cut(max)
			require.LessOrEqual(t, len(piece), max)
			got = append(got, piece...)
		}
		require.Equal(t, whole, string(got))
		require.Equal(t, whole, body.String(), "the body itself is unchanged")
	})
}
