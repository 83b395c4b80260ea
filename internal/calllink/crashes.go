package calllink

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/quarantine"
)

// laterRunBit is set in the ID of each crash, but cleared on the wire for a loss of a first run: nodes of
// earlier versions decode arrays of this length only.
const laterRunBit = 1

// wireCrash is the wire format of a crash.
type wireCrash struct {
	_       struct{} `cbor:",toarray"`
	Content uint64
	Crash   uint64 // ID of the crash; even if the run was a first one
	AgeMs   uint64
	Excused bool
}

func encodeCrashes(crashes []quarantine.Loss) ([]byte, error) {
	list := make([]wireCrash, 0, len(crashes))
	for _, l := range crashes {
		id := l.CrashID
		if l.First {
			id &^= laterRunBit
		}
		list = append(list, wireCrash{Content: l.Fingerprint, Crash: id, AgeMs: uint64(l.Age.Milliseconds()), Excused: l.Completed})
	}
	data, err := cbor.Marshal(list)
	return data, errors.Wrap(err, "encode crashes")
}

// crashAgeMax limits the age of decoded crashes. Any crash of this age has expired.
const crashAgeMax = 365 * 24 * time.Hour

func decodeCrashes(data []byte) ([]quarantine.Loss, error) {
	var list []wireCrash
	if err := cbor.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "decode crashes")
	}
	crashes := make([]quarantine.Loss, 0, len(list))
	for _, l := range list {
		age := time.Duration(min(l.AgeMs, uint64(crashAgeMax.Milliseconds()))) * time.Millisecond
		crashes = append(crashes, quarantine.Loss{
			Fingerprint: l.Content, CrashID: l.Crash | laterRunBit, Age: age, Completed: l.Excused, First: l.Crash&laterRunBit == 0,
		})
	}
	return crashes, nil
}

// ReportCrashes sends endpoint crashes to the other node and waits until it has recorded
// them. The errors are those of Do.
func (l *Link) ReportCrashes(ctx context.Context, crashes []quarantine.Loss) error {
	data, err := encodeCrashes(crashes)
	if err != nil {
		return err
	}
	s, err := l.session(ctx, nil)
	if err != nil {
		return err
	}
	_, err = s.request(ctx, &frame{Kind: kindCrashes, State: data}, nil)
	return err
}

// FetchCrashes requests all crashes that the other node knows and passes them to
// recordCrashes. complete is false if that node has just started and may lack some. The
// errors are those of Do.
func (l *Link) FetchCrashes(ctx context.Context) (complete bool, err error) {
	s, err := l.session(ctx, nil)
	if err != nil {
		return false, err
	}
	reply, err := s.request(ctx, &frame{Kind: kindCrashRequest}, nil)
	if err != nil {
		return false, err
	}
	return reply.Refused == NotRefused, nil
}

// SessionNumber returns the number of sessions opened so far. Crashes reported in an earlier
// session may be lost: the other node's process may have been replaced since.
func (l *Link) SessionNumber() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessionCount
}

// handleCrashes passes crashes from another node to recordCrashes. Crashes that can't be
// decoded close the link, as any invalid frame does.
func handleCrashes(s *stream, f *frame, recordCrashes func([]quarantine.Loss)) bool {
	crashes, err := decodeCrashes(f.State)
	if err != nil {
		s.close()
		return false
	}
	recordCrashes(crashes)
	return true
}
