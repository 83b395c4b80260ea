package calllink

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// wordsMax bounds the words that one direction of a link remembers.
	wordsMax = 2048
	// wordBytesMax is the longest text that is remembered.
	wordBytesMax = 128
	// seenMax bounds the texts that were seen once.
	seenMax = 1024
)

// word is a text on a link. Names and values come again and again; from its
// second use on a text is remembered by both sides and travels as a number.
type word struct {
	text  string
	index uint32 // of a remembered text, from 1; 0 stands for text
	keep  bool   // both sides remember text from now on
}

// MarshalCBOR writes a number, the bytes of a text, or these in a list when the
// text is to be remembered. Headers need not be UTF-8, so it writes no CBOR text.
func (w word) MarshalCBOR() ([]byte, error) {
	switch {
	case w.index > 0:
		return cbor.Marshal(w.index)
	case w.keep:
		return cbor.Marshal([1][]byte{[]byte(w.text)})
	default:
		return cbor.Marshal([]byte(w.text))
	}
}

// The major types of CBOR that a word may have.
const (
	majorNumber = 0
	majorBytes  = 2
	majorList   = 4
	majorShift  = 5
)

// UnmarshalCBOR reads what MarshalCBOR wrote.
func (w *word) UnmarshalCBOR(data []byte) error {
	if len(data) == 0 {
		return errors.New("an empty word")
	}
	switch data[0] >> majorShift {
	case majorNumber:
		return cbor.Unmarshal(data, &w.index)
	case majorBytes:
		var text []byte
		err := cbor.Unmarshal(data, &text)
		w.text = string(text)
		return err
	case majorList:
		var list [1][]byte
		err := cbor.Unmarshal(data, &list)
		w.text, w.keep = string(list[0]), true
		return err
	default:
		return errors.Errorf("a word of major type %d", data[0]>>majorShift)
	}
}

// wordWriter turns texts into words, in the order in which they are sent.
type wordWriter struct {
	index map[string]uint32
	seen  map[string]bool
}

func newWordWriter() *wordWriter {
	return &wordWriter{index: make(map[string]uint32), seen: make(map[string]bool)}
}

func (w *wordWriter) word(text string) word {
	if at, known := w.index[text]; known {
		return word{index: at}
	}
	if len(text) > wordBytesMax || len(w.index) >= wordsMax {
		return word{text: text}
	}
	if !w.seen[text] {
		if len(w.seen) >= seenMax {
			clear(w.seen)
		}
		w.seen[text] = true
		return word{text: text}
	}
	delete(w.seen, text)
	w.index[text] = uint32(len(w.index) + 1)
	return word{text: text, keep: true}
}

func (w *wordWriter) words(texts []string) []word {
	out := make([]word, len(texts))
	for i, text := range texts {
		out[i] = w.word(text)
	}
	return out
}

// wordReader turns words back into texts, in the order in which they come.
type wordReader struct {
	known []string
	fault error
}

func (r *wordReader) text(w word) string {
	switch {
	case w.index > 0 && int(w.index) <= len(r.known):
		return r.known[w.index-1]
	case w.index > 0:
		r.fault = errors.Errorf("word %d of %d", w.index, len(r.known))
		return ""
	case w.keep && len(r.known) >= wordsMax:
		r.fault = errors.Errorf("more than %d words", wordsMax)
		return ""
	case w.keep:
		r.known = append(r.known, w.text)
	}
	return w.text
}

func (r *wordReader) texts(words []word) []string {
	out := make([]string, len(words))
	for i, w := range words {
		out[i] = r.text(w)
	}
	return out
}
