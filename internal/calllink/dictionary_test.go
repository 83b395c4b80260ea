package calllink

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenacart/galenacart/internal/message"
)

// roundTrip encodes and decodes a frame and returns it with its size in bytes.
func roundTrip(t require.TestingT, e *dictEncoder, d *dictDecoder, f *frame) (*frame, int) {
	data, err := cbor.Marshal(e.frame(f))
	require.NoError(t, err)
	var got *frame
	require.NoError(t, d.decodeFrames(data, func(decoded *frame) { got = decoded }))
	return got, len(data)
}

func TestFrameRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, d := newDictEncoder(), &dictDecoder{}
		texts := rapid.SampledFrom([]string{"", "a", "stock", "X-Long-Header-Name", "\xff", string(make([]byte, dictEntryBytesMax+1))})
		for range rapid.IntRange(1, 20).Draw(t, "frames") {
			fields := rapid.SliceOfN(texts, 0, 6).Draw(t, "fields")
			f := &frame{Kind: kindCall, ID: rapid.Uint64().Draw(t, "id")}
			f.Call = &Call{
				Service: texts.Draw(t, "service"), Route: texts.Draw(t, "route"), Target: texts.Draw(t, "target"),
				Fields: append([]string{}, fields...), Body: message.NewBody([]byte{1}), RemainingMs: 7, Idempotent: true,
			}
			got, _ := roundTrip(t, e, d, f)
			require.Equal(t, f, got)
		}
	})
}

func TestRepeatedTextsAreSentAsNumbers(t *testing.T) {
	e, d := newDictEncoder(), &dictDecoder{}
	f := &frame{Kind: kindReply, ID: 1, Reply: &Reply{Status: 200, Fields: []string{"Content-Type", "application/octet-stream"}, Body: message.NewBody([]byte("x"))}}
	_, first := roundTrip(t, e, d, f)
	roundTrip(t, e, d, f)
	got, third := roundTrip(t, e, d, f)
	require.Equal(t, f.Reply.Fields, got.Reply.Fields)
	require.Less(t, third, first/2)
}

func TestUnknownNumberIsAnError(t *testing.T) {
	data, err := cbor.Marshal(&wireFrame{Kind: kindReply, Reply: &wireReply{Detail: dictText{index: 1}}})
	require.NoError(t, err)
	require.Error(t, (&dictDecoder{}).decodeFrames(data, func(*frame) {}))
}

func TestDictionaryIsBounded(t *testing.T) {
	e := newDictEncoder()
	for i := range 10 * dictEntriesMax {
		text := string(rune('a'+i%26)) + string(rune(0x4e00+i%0x4000))
		e.dictText(text)
		e.dictText(text)
	}
	require.LessOrEqual(t, len(e.index), dictEntriesMax)
	require.LessOrEqual(t, len(e.candidates), dictCandidatesMax)
}

func FuzzDecode(f *testing.F) {
	good, _ := cbor.Marshal(newDictEncoder().frame(&frame{Kind: kindCall, ID: 1, Call: newCall("/x")}))
	f.Add(good)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = (&dictDecoder{}).decodeFrames(data, func(*frame) {}) // an error is allowed, a panic is not
	})
}
