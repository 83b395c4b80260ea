package calllink

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// wireFrame is a frame as it travels: lists without names of fields.
type wireFrame struct {
	_     struct{} `cbor:",toarray"`
	Kind  kind
	ID    uint64
	Call  *wireCall
	Reply *wireReply
	State []byte
}

type wireCall struct {
	_             struct{} `cbor:",toarray"`
	Service       word
	Endpoint      word
	Route         word
	CallerService word
	Rank          uint8
	Idempotent    bool
	RemainingMs   uint32
	Method        word
	Target        word
	Host          word
	Fields        []word
	Body          []byte
}

type wireReply struct {
	_       struct{} `cbor:",toarray"`
	Status  int
	Fields  []word
	Body    []byte
	Refused Refusal
	Detail  word
	Load    wireLoad
}

type wireLoad struct {
	_        struct{} `cbor:",toarray"`
	Busy     int
	Limit    int
	Pressure int
	Refuses  int
	UsualMs  int
	Flags    uint8
}

// The flags of a load.
const (
	flagInner = 1 << iota
	flagDeep
	flagLeaving
)

func (w *wordWriter) frame(f *frame) *wireFrame {
	out := &wireFrame{Kind: f.Kind, ID: f.ID, State: f.State}
	if c := f.Call; c != nil {
		out.Call = &wireCall{
			Service: w.word(c.Service), Endpoint: w.word(c.Endpoint), Route: w.word(c.Route),
			CallerService: w.word(c.CallerService), Rank: c.Rank, Idempotent: c.Idempotent, RemainingMs: c.RemainingMs,
			Method: w.word(c.Method), Target: w.word(c.Target), Host: w.word(c.Host), Fields: w.words(c.Fields), Body: c.Body,
		}
	}
	if r := f.Reply; r != nil {
		out.Reply = &wireReply{
			Status: r.Status, Fields: w.words(r.Fields), Body: r.Body, Refused: r.Refused, Detail: w.word(r.Detail),
			Load: wireLoad{Busy: r.Load.Outstanding, Limit: r.Load.Limit, Pressure: r.Load.PressurePermille, Refuses: r.Load.RefusalPermille, UsualMs: r.Load.TypicalMs},
		}
		out.Reply.Load.Flags = flag(r.Load.InternalOnly, flagInner) | flag(r.Load.CallsDownstream, flagDeep) | flag(r.Load.Leaving, flagLeaving)
	}
	return out
}

func flag(set bool, bit uint8) uint8 {
	if set {
		return bit
	}
	return 0
}

func (r *wordReader) frame(in *wireFrame) *frame {
	out := &frame{Kind: in.Kind, ID: in.ID, State: in.State}
	if c := in.Call; c != nil {
		out.Call = &Call{
			Service: r.text(c.Service), Endpoint: r.text(c.Endpoint), Route: r.text(c.Route),
			CallerService: r.text(c.CallerService), Rank: c.Rank, Idempotent: c.Idempotent, RemainingMs: c.RemainingMs,
			Method: r.text(c.Method), Target: r.text(c.Target), Host: r.text(c.Host), Fields: r.texts(c.Fields), Body: c.Body,
		}
	}
	if a := in.Reply; a != nil {
		out.Reply = &Reply{Status: a.Status, Fields: r.texts(a.Fields), Body: a.Body, Refused: a.Refused, Detail: r.text(a.Detail)}
		out.Reply.Load = Load{
			Outstanding: a.Load.Busy, Limit: a.Load.Limit, PressurePermille: a.Load.Pressure, RefusalPermille: a.Load.Refuses, TypicalMs: a.Load.UsualMs,
			InternalOnly: a.Load.Flags&flagInner != 0, CallsDownstream: a.Load.Flags&flagDeep != 0, Leaving: a.Load.Flags&flagLeaving != 0,
		}
	}
	return out
}

// decode calls take for each frame of a message.
func (r *wordReader) decode(data []byte, take func(*frame)) error {
	for len(data) > 0 {
		var in wireFrame
		rest, err := cbor.UnmarshalFirst(data, &in)
		if err != nil {
			return errors.Wrap(err, "decode a frame")
		}
		f := r.frame(&in)
		if r.fault != nil {
			return r.fault
		}
		take(f)
		data = rest
	}
	return nil
}
