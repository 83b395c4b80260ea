package calllink

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/retry"
	"github.com/galenacart/galenacart/internal/message"
)

// wireFrame is the wire format of a frame: arrays without field names.
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
	Service       dictText
	Endpoint      dictText
	Route         dictText
	CallerService dictText
	Rank          uint8
	Idempotent    bool
	RemainingMs   uint32
	Method        dictText
	Target        dictText
	Host          dictText
	Fields        []dictText
	Body          []byte
}

type wireReply struct {
	_       struct{} `cbor:",toarray"`
	Status  int
	Fields  []dictText
	Body    []byte
	Refused Refusal
	Detail  dictText
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

// The flags of a load. The bits from depthShift on hold its depth.
const (
	flagInternalOnly = 1 << iota
	flagCallsDownstream
	flagLeaving

	depthShift = 3
)

func (e *dictEncoder) frame(f *frame) *wireFrame {
	out := &wireFrame{Kind: f.Kind, ID: f.ID, State: f.State}
	if c := f.Call; c != nil {
		out.Call = &wireCall{
			Service: e.dictText(c.Service), Endpoint: e.dictText(c.Endpoint), Route: e.dictText(c.Route),
			CallerService: e.dictText(c.CallerService), Rank: c.Rank, Idempotent: c.Idempotent, RemainingMs: c.RemainingMs,
			Method: e.dictText(c.Method), Target: e.dictText(c.Target), Host: e.dictText(c.Host), Fields: e.dictTexts(c.Fields), Body: f.inlineBody(),
		}
	}
	if r := f.Reply; r != nil {
		out.Reply = &wireReply{
			Status: r.Status, Fields: e.dictTexts(r.Fields), Body: f.inlineBody(), Refused: r.Refused, Detail: e.dictText(r.Detail),
			Load: wireLoad{Busy: r.Load.Outstanding, Limit: r.Load.Limit, Pressure: r.Load.PressurePermille, Refuses: r.Load.RefusalPermille, UsualMs: r.Load.TypicalMs},
		}
		out.Reply.Load.Flags = flagBit(r.Load.InternalOnly, flagInternalOnly) | flagBit(r.Load.CallsDownstream, flagCallsDownstream) | flagBit(r.Load.Leaving, flagLeaving) |
			uint8(r.Load.Depth)<<depthShift
	}
	return out
}

func flagBit(set bool, bit uint8) uint8 {
	if set {
		return bit
	}
	return 0
}

func (d *dictDecoder) frame(in *wireFrame) *frame {
	out := &frame{Kind: in.Kind, ID: in.ID, State: in.State}
	if c := in.Call; c != nil {
		out.Call = &Call{
			Service: d.text(c.Service), Endpoint: d.text(c.Endpoint), Route: d.text(c.Route),
			CallerService: d.text(c.CallerService), Rank: c.Rank, Idempotent: c.Idempotent, RemainingMs: c.RemainingMs,
			Method: d.text(c.Method), Target: d.text(c.Target), Host: d.text(c.Host), Fields: d.texts(c.Fields), Body: message.NewBody(c.Body),
		}
	}
	if a := in.Reply; a != nil {
		out.Reply = &Reply{Status: a.Status, Fields: d.texts(a.Fields), Body: message.NewBody(a.Body), Refused: a.Refused, Detail: d.text(a.Detail)}
		out.Reply.Load = Load{
			Outstanding: a.Load.Busy, Limit: a.Load.Limit, PressurePermille: a.Load.Pressure, RefusalPermille: a.Load.Refuses, TypicalMs: a.Load.UsualMs,
			InternalOnly: a.Load.Flags&flagInternalOnly != 0, CallsDownstream: a.Load.Flags&flagCallsDownstream != 0, Leaving: a.Load.Flags&flagLeaving != 0,
			Depth: decodeDepth(a.Load.Flags),
		}
	}
	return out
}

// decodeDepth returns the depth in the flags of a load. Nodes of earlier versions send 0 for
// any depth, and the flag for a route that makes calls.
func decodeDepth(flags uint8) retry.Depth {
	depth := retry.Depth(flags >> depthShift)
	if depth == 0 && flags&flagCallsDownstream != 0 {
		return retry.AssumedDepth
	}
	return depth
}

// decodeFrames calls handle for each frame of a message.
func (d *dictDecoder) decodeFrames(data []byte, handle func(*frame)) error {
	for len(data) > 0 {
		var in wireFrame
		rest, err := cbor.UnmarshalFirst(data, &in)
		if err != nil {
			return errors.Wrap(err, "decode a frame")
		}
		f := d.frame(&in)
		if d.decodeErr != nil {
			return d.decodeErr
		}
		handle(f)
		data = rest
	}
	return nil
}
