package calllink

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// dictEntriesMax limits the dictionary of one direction of a link.
	dictEntriesMax = 2048
	// dictEntryBytesMax is the size of the longest text that enters the dictionary.
	dictEntryBytesMax = 128
	// dictCandidatesMax limits the texts that are remembered after their first use.
	dictCandidatesMax = 1024
)

// dictText is a dictionary-compressed text on a link. Header names and values repeat often:
// the second use of a text adds it to the dictionaries of both sides, and each further use
// is sent as its index.
type dictText struct {
	text   string
	index  uint32 // of a dictionary entry, from 1; 0 means that text is set
	define bool   // text is added to the dictionary
}

// MarshalCBOR writes an index, the bytes of a text, or an array with these bytes if the text
// is added to the dictionary. It writes byte strings since headers need not be UTF-8.
func (t dictText) MarshalCBOR() ([]byte, error) {
	switch {
	case t.index > 0:
		return cbor.Marshal(t.index)
	case t.define:
		return cbor.Marshal([1][]byte{[]byte(t.text)})
	default:
		return cbor.Marshal([]byte(t.text))
	}
}

// The CBOR major types of a dictText.
const (
	majorUint  = 0
	majorBytes = 2
	majorArray = 4
	majorShift = 5
)

// UnmarshalCBOR reads what MarshalCBOR wrote.
func (t *dictText) UnmarshalCBOR(data []byte) error {
	if len(data) == 0 {
		return errors.New("empty dictionary text")
	}
	switch data[0] >> majorShift {
	case majorUint:
		return cbor.Unmarshal(data, &t.index)
	case majorBytes:
		var text []byte
		err := cbor.Unmarshal(data, &text)
		t.text = string(text)
		return err
	case majorArray:
		var list [1][]byte
		err := cbor.Unmarshal(data, &list)
		t.text, t.define = string(list[0]), true
		return err
	default:
		return errors.Errorf("dictionary text with CBOR major type %d", data[0]>>majorShift)
	}
}

// dictEncoder compresses texts in the order in which they are sent.
type dictEncoder struct {
	index      map[string]uint32
	candidates map[string]bool
}

func newDictEncoder() *dictEncoder {
	return &dictEncoder{index: make(map[string]uint32), candidates: make(map[string]bool)}
}

func (e *dictEncoder) dictText(text string) dictText {
	if i, known := e.index[text]; known {
		return dictText{index: i}
	}
	if len(text) > dictEntryBytesMax || len(e.index) >= dictEntriesMax {
		return dictText{text: text}
	}
	if !e.candidates[text] {
		if len(e.candidates) >= dictCandidatesMax {
			clear(e.candidates)
		}
		e.candidates[text] = true
		return dictText{text: text}
	}
	delete(e.candidates, text)
	e.index[text] = uint32(len(e.index) + 1)
	return dictText{text: text, define: true}
}

func (e *dictEncoder) dictTexts(texts []string) []dictText {
	out := make([]dictText, len(texts))
	for i, text := range texts {
		out[i] = e.dictText(text)
	}
	return out
}

// dictDecoder decompresses texts in the order in which they are received.
type dictDecoder struct {
	entries   []string
	decodeErr error
}

func (d *dictDecoder) text(t dictText) string {
	switch {
	case t.index > 0 && int(t.index) <= len(d.entries):
		return d.entries[t.index-1]
	case t.index > 0:
		d.decodeErr = errors.Errorf("dictionary index %d of %d entries", t.index, len(d.entries))
		return ""
	case t.define && len(d.entries) >= dictEntriesMax:
		d.decodeErr = errors.Errorf("more than %d dictionary entries", dictEntriesMax)
		return ""
	case t.define:
		d.entries = append(d.entries, t.text)
	}
	return t.text
}

func (d *dictDecoder) texts(list []dictText) []string {
	out := make([]string, len(list))
	for i, t := range list {
		out[i] = d.text(t)
	}
	return out
}
