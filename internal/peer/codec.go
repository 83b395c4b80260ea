package peer

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/peer/delta"
)

const (
	maxNesting = 8
	maxMapKeys = 16
	maxArray   = 8192
)

var decoder = newDecoder()

// newDecoder returns a decoder that rejects CBOR features that nodes don't use.
// Its options are constant, so that it can't fail.
func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   maxNesting,
		MaxMapPairs:       maxMapKeys,
		MaxArrayElements:  maxArray,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the frame of a message.
func Encode(m *Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(data) > MaxMessageBytes {
		return nil, errors.Errorf("message of %d bytes is over %d", len(data), MaxMessageBytes)
	}
	return data, nil
}

// Decode decodes and checks a frame.
func Decode(data []byte) (*Message, error) {
	m := &Message{}
	if err := decoder.Unmarshal(data, m); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *Message) check() error {
	bodies := []struct {
		set   bool
		check func() error
	}{
		{m.Heartbeat != nil, func() error { return nil }},
		{m.Pull != nil, func() error { return checkDocument(m.Pull.Document) }},
		{m.Part != nil, func() error { return m.Part.check() }},
		{m.MemberRecords != nil, func() error { return m.MemberRecords.check() }},
		{m.BucketDigests != nil, func() error { return nil }},
		{m.Suspects != nil, func() error { return m.Suspects.check() }},
	}
	set := 0
	for _, body := range bodies {
		if !body.set {
			continue
		}
		set++
		if err := body.check(); err != nil {
			return err
		}
	}
	if set != 1 {
		return errors.Errorf("message has %d bodies", set)
	}
	return checkClock(m.Clock)
}

func checkClock(clock uint64) error {
	if clock > MaxClock {
		return errors.Errorf("logical time %d exceeds its bound", clock)
	}
	return nil
}

func checkDocument(number uint8) error {
	if number >= Documents {
		return errors.Errorf("unknown document %d", number)
	}
	return nil
}

func (p *Part) check() error {
	if len(p.Steps) > MaxSteps {
		return errors.Errorf("part has %d steps", len(p.Steps))
	}
	for _, entry := range p.Entries {
		if len(entry) > delta.MaxEntryBytes {
			return errors.Errorf("part has an entry of %d bytes", len(entry))
		}
	}
	return checkDocument(p.Document)
}

func (r *MemberRecords) check() error {
	if len(r.List) > MaxMemberRecords {
		return errors.Errorf("message has %d records", len(r.List))
	}
	for i := range r.List {
		if err := r.List[i].check(); err != nil {
			return err
		}
	}
	return nil
}

func (r *MemberRecord) check() error {
	switch {
	case r.VM == "" || r.Incarnation == 0 || r.State > Stopped:
		return errors.New("record without a VM, an incarnation or a valid state")
	case r.Stamp > MaxClock:
		return errors.New("stamp of the record exceeds its bound")
	}
	return checkNames(r.VM, r.AvailabilityZone, r.Region, r.Service, r.PeerAddress)
}

func (s *Suspects) check() error {
	if len(s.List) > MaxSuspects {
		return errors.Errorf("message has %d suspects", len(s.List))
	}
	for i := range s.List {
		if err := checkNames(s.List[i].VM); err != nil {
			return err
		}
	}
	return nil
}

func checkNames(names ...string) error {
	for _, name := range names {
		if len(name) > maxNameBytes {
			return errors.Errorf("name of %d bytes", len(name))
		}
	}
	return nil
}

// AgeMs encodes an age. It caps the age below the value for "unknown".
func AgeMs(age time.Duration) uint32 {
	return uint32(min(max(age.Milliseconds(), 0), unknownAge-1))
}

// UnknownAgeMs returns the encoded age for "unknown".
func UnknownAgeMs() uint32 {
	return unknownAge
}

// Age decodes an age, and returns false for "unknown".
func Age(ms uint32) (time.Duration, bool) {
	if ms == unknownAge {
		return math.MaxInt64, false
	}
	return time.Duration(ms) * time.Millisecond, true
}
