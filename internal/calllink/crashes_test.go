package calllink

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/quarantine"
)

// crashRecorder collects reported crashes.
type crashRecorder struct {
	mu   sync.Mutex
	list []quarantine.Loss
}

func (r *crashRecorder) receive(crashes []quarantine.Loss) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, crashes...)
}

func (r *crashRecorder) crashes() []quarantine.Loss {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list
}

func TestReportedCrashesAreRecordedBeforeTheReply(t *testing.T) {
	var got crashRecorder
	l := connect(t, &clock{}, respondWith(200), callbacks{receive: noCallbacks.receive, exportState: noCallbacks.exportState, recordCrashes: got.receive})
	require.Zero(t, l.SessionNumber())
	crashes := []quarantine.Loss{
		{Fingerprint: 1, CrashID: 3, Age: time.Second}, {Fingerprint: 3, CrashID: 5, Completed: true}, {Fingerprint: 5, CrashID: 3, First: true},
	}
	require.NoError(t, l.ReportCrashes(context.Background(), crashes))
	require.Equal(t, crashes, got.crashes())
	require.EqualValues(t, 1, l.SessionNumber())
}

func TestCrashesArriveBeforeTheReply(t *testing.T) {
	var got crashRecorder
	crashes := []quarantine.Loss{{Fingerprint: 1, CrashID: 3}}
	handler := func(context.Context, *Call) *Reply { return &Reply{Detail: "broken", Crashes: crashes} }
	l := connect(t, &clock{}, handler, callbacks{receive: noCallbacks.receive, exportState: noCallbacks.exportState, recordCrashes: got.receive})
	reply, err := l.Do(context.Background(), newCall("/a"))
	require.NoError(t, err)
	require.Equal(t, "broken", reply.Detail)
	require.Equal(t, crashes, got.crashes(), "recorded before the caller decides on a retry")
}

func TestInvalidCrashesCloseTheLink(t *testing.T) {
	_, err := decodeCrashes([]byte{0xff})
	require.Error(t, err)
	var got crashRecorder
	l := connect(t, &clock{}, respondWith(200), callbacks{receive: noCallbacks.receive, exportState: noCallbacks.exportState, recordCrashes: got.receive})
	s, err := l.session(context.Background(), nil)
	require.NoError(t, err)
	_, err = s.request(context.Background(), &frame{Kind: kindCrashes, State: []byte{0xff}}, nil)
	require.ErrorIs(t, err, ErrReplyLost)
	require.Empty(t, got.crashes())
}

func TestCrashAgesAreBounded(t *testing.T) {
	data, err := encodeCrashes([]quarantine.Loss{{Age: 2 * crashAgeMax}})
	require.NoError(t, err)
	crashes, err := decodeCrashes(data)
	require.NoError(t, err)
	require.Equal(t, crashAgeMax, crashes[0].Age)
}

func FuzzLosses(f *testing.F) {
	data, err := encodeCrashes([]quarantine.Loss{{Fingerprint: 1, CrashID: 2, Age: time.Second}, {Fingerprint: 1, CrashID: 3, Completed: true}})
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{0x81, 0x84, 1, 2, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xf4}) // maximum age
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})                         // array longer than the data
	f.Fuzz(func(t *testing.T, data []byte) {
		crashes, err := decodeCrashes(data)
		if err != nil {
			return
		}
		l := quarantine.New()
		l.Merge(time.Hour, crashes)
		for _, one := range crashes {
			require.GreaterOrEqual(t, one.Age, time.Duration(0))
			require.GreaterOrEqual(t, l.HoldRemaining(time.Hour, one.Fingerprint), time.Duration(0))
		}
		again, err := encodeCrashes(crashes)
		require.NoError(t, err)
		same, err := decodeCrashes(again)
		require.NoError(t, err)
		require.Equal(t, crashes, same)
	})
}
