package calllink

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/quarantine"
)

// wireLoss is a loss as it travels.
type wireLoss struct {
	_       struct{} `cbor:",toarray"`
	Content uint64
	Crash   uint64
	AgeMs   uint64
	Excused bool
}

func encodeLosses(losses []quarantine.Loss) ([]byte, error) {
	list := make([]wireLoss, 0, len(losses))
	for _, l := range losses {
		list = append(list, wireLoss{Content: l.Fingerprint, Crash: l.CrashID, AgeMs: uint64(l.Age.Milliseconds()), Excused: l.Completed})
	}
	data, err := cbor.Marshal(list)
	return data, errors.Wrap(err, "encode losses")
}

// ageMax is an age at which every loss is forgotten.
const ageMax = 365 * 24 * time.Hour

func decodeLosses(data []byte) ([]quarantine.Loss, error) {
	var list []wireLoss
	if err := cbor.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "decode losses")
	}
	losses := make([]quarantine.Loss, 0, len(list))
	for _, l := range list {
		age := time.Duration(min(l.AgeMs, uint64(ageMax.Milliseconds()))) * time.Millisecond
		losses = append(losses, quarantine.Loss{Fingerprint: l.Content, CrashID: l.Crash, Age: age, Completed: l.Excused})
	}
	return losses, nil
}

// ReportCrashes tells the other node of endpoints that crashed, and waits until it has taken the
// losses in. The errors are those of Do.
func (l *Link) ReportCrashes(ctx context.Context, losses []quarantine.Loss) error {
	data, err := encodeLosses(losses)
	if err != nil {
		return err
	}
	s, err := l.session(ctx)
	if err != nil {
		return err
	}
	_, err = s.ask(ctx, &frame{Kind: kindLosses, State: data})
	return err
}

// SessionNumber numbers the sessions of the link. What was told in an earlier one may be lost:
// the other node's process may have been replaced since.
func (l *Link) SessionNumber() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessions
}

// takeLosses hands losses of another node on. Losses that can't be read end the link,
// as any frame does.
func takeLosses(s *stream, f *frame, learn func([]quarantine.Loss)) bool {
	losses, err := decodeLosses(f.State)
	if err != nil {
		s.close()
		return false
	}
	learn(losses)
	return true
}
