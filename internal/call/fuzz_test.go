package call

import (
	"encoding/base64"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// seedTexts returns texts that are near to what nodes send.
func seedTexts(f *testing.F, h http.Header, name string) []string {
	f.Helper()
	text := h.Get(name)
	require.NotEmpty(f, text)
	return []string{
		text,
		text[:len(text)-2],
		text + "AA",
		"",
		"not base64!",
		base64.RawURLEncoding.EncodeToString([]byte{0xbf}),                        // a map without an end
		base64.RawURLEncoding.EncodeToString([]byte{0xbb, 255, 255, 255, 255, 0}), // a map of a huge size
	}
}

func FuzzGetMeta(f *testing.F) {
	h := http.Header{}
	m := &Meta{
		Attempt: ID{1}, Root: ID{2}, Priority: 3, RemainingMs: 800, RetryBudget: 2, Method: "POST", Fingerprint: 7,
		Depth: 1, Clock: 9, Correlation: "c", Service: "stock", Token: "gct1.x", ResumeIncarnation: 5, EndpointLosses: []EndpointLoss{{Fingerprint: 1, Count: 1}},
	}
	require.NoError(f, SetMeta(h, m))
	for _, text := range seedTexts(f, h, HeaderMeta) {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		have, err := GetMeta(http.Header{HeaderMeta: {text}})
		if err != nil {
			require.Nil(t, have)
			return
		}
		again := http.Header{}
		require.NoError(t, SetMeta(again, have))
		same, err := GetMeta(again)
		require.NoError(t, err)
		require.Equal(t, have, same)
	})
}

func FuzzGetReply(f *testing.F) {
	h := http.Header{}
	r := &Reply{
		Attempt: ID{1}, RetryBudget: 2, ShedThreshold: 3, Headroom: 4, Leaving: true, Clock: 6, EndpointLosses: []EndpointLoss{{Fingerprint: 1, Count: 1}},
		Kind: "overloaded", Ran: "no", Detail: "shed", Incarnation: 7, DeclaredLength: 12,
	}
	require.NoError(f, SetReply(h, r))
	for _, text := range seedTexts(f, h, HeaderReply) {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		have, err := GetReply(http.Header{HeaderReply: {text}})
		if err != nil {
			require.Nil(t, have)
			return
		}
		if p := have.Problem(); p != nil {
			require.NotEmpty(t, p.Kind.String())
		}
		again := http.Header{}
		require.NoError(t, SetReply(again, have))
		same, err := GetReply(again)
		require.NoError(t, err)
		require.Equal(t, have, same)
	})
}
