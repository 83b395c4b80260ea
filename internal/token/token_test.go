package token

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCodecRoundTrip(t *testing.T) {
	c := NewCodec("a fleet key of some length")
	want := &Token{VM: "stock-1", Incarnation: 7, IssuedMs: 1500}
	want.Key[0] = 9
	text, err := c.Encode(want)
	require.NoError(t, err)
	have, err := c.Decode(text)
	require.NoError(t, err)
	require.Equal(t, want, have)

	_, err = NewCodec("another fleet key, not the same").Decode(text)
	require.Error(t, err)
}

func FuzzDecode(f *testing.F) {
	c := NewCodec("a fleet key of some length")
	text, err := c.Encode(&Token{VM: "stock-1", Incarnation: 7})
	require.NoError(f, err)
	f.Add(text)
	f.Add(prefix)
	f.Add(text[:len(text)-3])
	f.Fuzz(func(t *testing.T, have string) {
		decoded, err := c.Decode(have)
		if err != nil {
			return
		}
		encodedAgain, err := c.Encode(decoded)
		require.NoError(t, err)
		require.Len(t, encodedAgain, len(have), "length of a decoded token that is encoded again")
	})
}
