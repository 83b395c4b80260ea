package calllink

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// send takes frames through one direction of a link.
func send(t require.TestingT, w *wordWriter, r *wordReader, f *frame) (*frame, int) {
	data, err := cbor.Marshal(w.frame(f))
	require.NoError(t, err)
	var got *frame
	require.NoError(t, r.decode(data, func(one *frame) { got = one }))
	return got, len(data)
}

func TestFramesComeOutAsTheyWentIn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, r := newWordWriter(), &wordReader{}
		texts := rapid.SampledFrom([]string{"", "a", "stock", "X-Long-Header-Name", "\xff", string(make([]byte, wordBytesMax+1))})
		for range rapid.IntRange(1, 20).Draw(t, "frames") {
			fields := rapid.SliceOfN(texts, 0, 6).Draw(t, "fields")
			f := &frame{Kind: kindCall, ID: rapid.Uint64().Draw(t, "id")}
			f.Call = &Call{
				Service: texts.Draw(t, "service"), Route: texts.Draw(t, "route"), Target: texts.Draw(t, "target"),
				Fields: append([]string{}, fields...), Body: []byte{1}, RemainingMs: 7, Idempotent: true,
			}
			got, _ := send(t, w, r, f)
			require.Equal(t, f, got)
		}
	})
}

func TestRepeatedTextsBecomeNumbers(t *testing.T) {
	w, r := newWordWriter(), &wordReader{}
	f := &frame{Kind: kindReply, ID: 1, Reply: &Reply{Status: 200, Fields: []string{"Content-Type", "application/octet-stream"}, Body: []byte("x")}}
	_, first := send(t, w, r, f)
	send(t, w, r, f)
	got, third := send(t, w, r, f)
	require.Equal(t, f.Reply.Fields, got.Reply.Fields)
	require.Less(t, third, first/2)
}

func TestUnknownNumberIsAFault(t *testing.T) {
	data, err := cbor.Marshal(&wireFrame{Kind: kindReply, Reply: &wireReply{Detail: word{index: 1}}})
	require.NoError(t, err)
	require.Error(t, (&wordReader{}).decode(data, func(*frame) {}))
}

func TestMemoryOfWordsIsBounded(t *testing.T) {
	w := newWordWriter()
	for i := range 10 * wordsMax {
		text := string(rune('a'+i%26)) + string(rune(0x4e00+i%0x4000))
		w.word(text)
		w.word(text)
	}
	require.LessOrEqual(t, len(w.index), wordsMax)
	require.LessOrEqual(t, len(w.seen), seenMax)
}

func FuzzDecode(f *testing.F) {
	good, _ := cbor.Marshal(newWordWriter().frame(&frame{Kind: kindCall, ID: 1, Call: callOf("/x")}))
	f.Add(good)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = (&wordReader{}).decode(data, func(*frame) {}) // a fault, never a panic
	})
}
