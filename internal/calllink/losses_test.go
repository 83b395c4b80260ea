package calllink

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/quarantine"
)

// learned collects losses that were told.
type learned struct {
	mu   sync.Mutex
	list []quarantine.Loss
}

func (l *learned) take(losses []quarantine.Loss) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, losses...)
}

func (l *learned) losses() []quarantine.Loss {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list
}

func TestToldLossesAreTakenInBeforeTheReply(t *testing.T) {
	var got learned
	l := connect(t, &clock{}, answering(200), deployment{take: untold.take, tell: untold.tell, learn: got.take})
	require.Zero(t, l.SessionNumber())
	losses := []quarantine.Loss{{Fingerprint: 1, CrashID: 2, Age: time.Second}, {Fingerprint: 3, CrashID: 4, Completed: true}}
	require.NoError(t, l.ReportCrashes(context.Background(), losses))
	require.Equal(t, losses, got.losses())
	require.EqualValues(t, 1, l.SessionNumber())
}

func TestLossesTravelAheadOfTheReply(t *testing.T) {
	var got learned
	losses := []quarantine.Loss{{Fingerprint: 1, CrashID: 2}}
	handler := func(context.Context, *Call) *Reply { return &Reply{Detail: "broken", Crashes: losses} }
	l := connect(t, &clock{}, handler, deployment{take: untold.take, tell: untold.tell, learn: got.take})
	reply, err := l.Do(context.Background(), callOf("/a"))
	require.NoError(t, err)
	require.Equal(t, "broken", reply.Detail)
	require.Equal(t, losses, got.losses(), "known before the caller decides on another attempt")
}

func TestLossesThatCantBeReadEndTheLink(t *testing.T) {
	_, err := decodeLosses([]byte{0xff})
	require.Error(t, err)
	var got learned
	l := connect(t, &clock{}, answering(200), deployment{take: untold.take, tell: untold.tell, learn: got.take})
	s, err := l.session(context.Background())
	require.NoError(t, err)
	_, err = s.ask(context.Background(), &frame{Kind: kindLosses, State: []byte{0xff}})
	require.ErrorIs(t, err, ErrReplyLost)
	require.Empty(t, got.losses())
}

func TestAgesOfLossesAreBounded(t *testing.T) {
	data, err := encodeLosses([]quarantine.Loss{{Age: 2 * ageMax}})
	require.NoError(t, err)
	losses, err := decodeLosses(data)
	require.NoError(t, err)
	require.Equal(t, ageMax, losses[0].Age)
}

func FuzzLosses(f *testing.F) {
	data, err := encodeLosses([]quarantine.Loss{{Fingerprint: 1, CrashID: 2, Age: time.Second}, {Fingerprint: 1, CrashID: 3, Completed: true}})
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{0x81, 0x84, 1, 2, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xf4}) // the largest age
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})                         // a list without end
	f.Fuzz(func(t *testing.T, data []byte) {
		losses, err := decodeLosses(data)
		if err != nil {
			return
		}
		l := quarantine.New()
		l.Merge(time.Hour, losses)
		for _, one := range losses {
			require.GreaterOrEqual(t, one.Age, time.Duration(0))
			require.GreaterOrEqual(t, l.HoldRemaining(time.Hour, one.Fingerprint), time.Duration(0))
		}
		again, err := encodeLosses(losses)
		require.NoError(t, err)
		same, err := decodeLosses(again)
		require.NoError(t, err)
		require.Equal(t, losses, same)
	})
}
