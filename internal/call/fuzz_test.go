package call

import (
	"encoding/base64"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// fuzzSeeds returns a valid header value and variants of it.
func fuzzSeeds(f *testing.F, h http.Header, name string) []string {
	f.Helper()
	text := h.Get(name)
	require.NotEmpty(f, text)
	return []string{
		text,
		text[:len(text)-2],
		text + "AA",
		"",
		"not base64!",
		base64.RawURLEncoding.EncodeToString([]byte{0xbf}),                        // a map of indefinite length, truncated
		base64.RawURLEncoding.EncodeToString([]byte{0xbb, 255, 255, 255, 255, 0}), // a map that declares a huge size
	}
}

func FuzzGetMeta(f *testing.F) {
	h := http.Header{}
	m := &Meta{
		Attempt: ID{1}, Root: ID{2}, Priority: 3, RemainingMs: 800, RetryBudget: 2, Method: "POST", Fingerprint: 7,
		Depth: 1, Clock: 9, Correlation: "c", Service: "stock", Token: "gct1.x", ResumeIncarnation: 5, EndpointLosses: []EndpointLoss{{Fingerprint: 1, Count: 1}},
	}
	require.NoError(f, SetMeta(h, m))
	for _, text := range fuzzSeeds(f, h, HeaderMeta) {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		decoded, err := GetMeta(http.Header{HeaderMeta: {text}})
		if err != nil {
			require.Nil(t, decoded)
			return
		}
		encoded := http.Header{}
		require.NoError(t, SetMeta(encoded, decoded))
		decodedAgain, err := GetMeta(encoded)
		require.NoError(t, err)
		require.Equal(t, decoded, decodedAgain)
	})
}

func FuzzGetReply(f *testing.F) {
	h := http.Header{}
	r := &Reply{
		Attempt: ID{1}, RetryBudget: 2, ShedThreshold: 3, Headroom: 4, Leaving: true, Clock: 6, EndpointLosses: []EndpointLoss{{Fingerprint: 1, Count: 1}},
		Kind: "overloaded", Ran: "no", Detail: "shed", Incarnation: 7, DeclaredLength: 12,
	}
	require.NoError(f, SetReply(h, r))
	for _, text := range fuzzSeeds(f, h, HeaderReply) {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		decoded, err := GetReply(http.Header{HeaderReply: {text}})
		if err != nil {
			require.Nil(t, decoded)
			return
		}
		if p := decoded.Problem(); p != nil {
			require.NotEmpty(t, p.Kind.String())
		}
		encoded := http.Header{}
		require.NoError(t, SetReply(encoded, decoded))
		decodedAgain, err := GetReply(encoded)
		require.NoError(t, err)
		require.Equal(t, decoded, decodedAgain)
	})
}
