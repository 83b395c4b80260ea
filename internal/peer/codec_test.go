package peer

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/peer/delta"
)

func sampleMessages() []*Message {
	return []*Message{
		{Clock: 1, Heartbeat: &Heartbeat{Seq: 1, Documents: [Documents]DocumentState{{Revision: 3, ReadAgeMs: 7}}}},
		{Clock: 2, Pull: &Pull{Document: 1}},
		{Clock: 3, Part: &Part{Revision: 3, Last: true, Steps: []delta.Step{{From: 1, Count: 2}, {}}, Entries: [][]byte{[]byte("a\n1")}}},
		{Clock: 4, MemberRecords: &MemberRecords{List: []MemberRecord{{VM: "a", Incarnation: 1, State: Leaving}}}},
		{Clock: 5, BucketDigests: &BucketDigests{RecordsSent: true}},
		{Clock: 6, Suspects: &Suspects{List: []Suspect{{Fingerprint: 7, VM: "a", Count: 1}}}},
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, m := range sampleMessages() {
		data, err := Encode(m)
		require.NoError(t, err)
		back, err := Decode(data)
		require.NoError(t, err)
		require.Equal(t, m, back)
	}
}

func TestDecodeRejectsInvalidMessages(t *testing.T) {
	long := string(make([]byte, maxNameBytes+1))
	cases := []struct {
		desc string
		in   any
	}{
		{"no body", &Message{Clock: 1}},
		{"two bodies", &Message{Pull: &Pull{}, BucketDigests: &BucketDigests{}}},
		{"clock beyond its bound", &Message{Clock: MaxClock + 1, Pull: &Pull{}}},
		{"unknown document", &Message{Pull: &Pull{Document: Documents}}},
		{"record without a VM", &Message{MemberRecords: &MemberRecords{List: []MemberRecord{{Incarnation: 1}}}}},
		{"record of an unknown state", &Message{MemberRecords: &MemberRecords{List: []MemberRecord{{VM: "a", Incarnation: 1, State: 9}}}}},
		{"record with a long name", &Message{MemberRecords: &MemberRecords{List: []MemberRecord{{VM: long, Incarnation: 1}}}}},
		{"too many records", &Message{MemberRecords: &MemberRecords{List: make([]MemberRecord, MaxMemberRecords+1)}}},
		{"too many suspects", &Message{Suspects: &Suspects{List: make([]Suspect, MaxSuspects+1)}}},
		{"entry that is too large", &Message{Part: &Part{Entries: [][]byte{make([]byte, delta.MaxEntryBytes+1)}}}},
		{"unknown field", map[int]any{1: 1, 99: 1}},
		{"text", "hello"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			data, err := cbor.Marshal(c.in)
			require.NoError(t, err)
			_, err = Decode(data)
			require.Error(t, err)
		})
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		data, err := Encode(m)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(m)
		require.NoError(t, err)
		back, err := Decode(again)
		require.NoError(t, err)
		require.Equal(t, m.Clock, back.Clock)
	})
}

func FuzzDecodeHello(f *testing.F) {
	good, err := cbor.Marshal(hello{Version: protocolVersion, Identity: Identity{VM: "a", Incarnation: 1}, Nonce: make([]byte, nonceBytes)})
	require.NoError(f, err)
	f.Add(good)
	f.Add(good[:len(good)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := decodeHello(data)
		if err != nil {
			return
		}
		require.NotEmpty(t, h.Identity.VM)
		require.NotZero(t, h.Identity.Incarnation)
		require.Len(t, h.Nonce, nonceBytes)
	})
}

func FuzzDecodeProofs(f *testing.F) {
	inner, err := cbor.Marshal(hello{Version: protocolVersion, Identity: Identity{VM: "a", Incarnation: 1}, Nonce: make([]byte, nonceBytes)})
	require.NoError(f, err)
	outer, err := cbor.Marshal(welcome{Hello: inner, Proof: []byte("proof")})
	require.NoError(f, err)
	last, err := cbor.Marshal(confirm{Proof: []byte("proof")})
	require.NoError(f, err)
	f.Add(outer)
	f.Add(last)
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, h, err := decodeWelcome(data); err == nil {
			require.NotZero(t, h.Identity.Incarnation)
		}
		if c, err := decodeConfirm(data); err == nil {
			require.NotNil(t, c)
		}
	})
}
