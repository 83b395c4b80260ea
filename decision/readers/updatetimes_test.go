package readers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestUpdateTimesAddUpToTheBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 2500 * time.Millisecond, 3 * time.Second, 16 * time.Second} {
		times := NewUpdateTimes(bound)
		require.LessOrEqual(t, times.ProbeInterval+times.ReadTime, times.AgeMax, "a reader whose watch waits, bound %s", bound)
		require.LessOrEqual(t, times.BatchPause+times.ReadTime, times.AgeMax, "a reader after changes, bound %s", bound)
		require.LessOrEqual(t, times.AgeMax+times.ReadTime, bound, "a subscriber that reads itself, bound %s", bound)
		require.GreaterOrEqual(t, times.ProbeInterval, bound/2, "probes are priced")
	}
}

func TestSnapshotWait(t *testing.T) {
	times := NewUpdateTimes(2 * time.Second)
	const longest = 1200 * time.Millisecond
	require.Equal(t, longest, times.SnapshotWait(100*time.Millisecond, longest))
	require.Equal(t, 800*time.Millisecond, times.SnapshotWait(800*time.Millisecond, longest))
	require.Equal(t, longest, times.SnapshotWait(time.Minute, longest), "its own reads fail")
}

func TestFreshnessFromABrokenReader(t *testing.T) {
	huge := Freshness{AgeMs: 1 << 63, EchoMs: 1<<64 - 1, SinceEchoMs: 1<<64 - 1}
	require.Positive(t, huge.ConfirmedAt(), "no overflow")
}

// silentCut is the load of TestSilentlyCutReaderDelaysNoChangeBeyondTheBound: one reader, its
// subscriber, and a change right after the reader lost the platform. All times are of one
// clock, which the subscriber's own exceeds by clockSkew.
type silentCut struct {
	times          UpdateTimes
	cutAt          time.Duration // from the reader's last answer
	heartbeat      time.Duration
	toReader       time.Duration // delay of the subscriber's messages
	toSubscriber   func(at time.Duration) time.Duration
	clockSkew      time.Duration
	subscriberRead time.Duration
}

// inForceAt returns when the subscriber has a change that was made at the cut.
func (c *silentCut) inForceAt() time.Duration {
	const pingInterval = time.Second
	deadline := c.times.AgeMax // the subscriber knows of the last answer at once
	lastArrival := time.Duration(0)
	for sent := time.Duration(0); sent < 20*time.Second; sent += c.heartbeat {
		arrival := max(sent+c.toSubscriber(sent), lastArrival) // messages stay in order
		lastArrival = arrival
		if sent > 0 && arrival > deadline {
			break // the subscriber gave up before
		}
		pingAt := sent / pingInterval * pingInterval // the newest one that can have arrived
		if pingAt+c.toReader > sent {
			pingAt -= pingInterval
		}
		f := NewFreshness(sent, pingAt+c.clockSkew+time.Minute, sent-pingAt-c.toReader)
		deadline = max(deadline, f.ConfirmedAt()-time.Minute-c.clockSkew+c.times.AgeMax)
	}
	return deadline + c.subscriberRead
}

func TestSilentlyCutReaderDelaysNoChangeBeyondTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := time.Duration(rapid.IntRange(1000, 16000).Draw(t, "bound ms")) * time.Millisecond
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		slow, slowFrom := ms("delay on a squeezed link", 3000), ms("squeezed from", 4000)
		c := silentCut{
			times: NewUpdateTimes(bound), heartbeat: 300 * time.Millisecond,
			toReader: ms("delay to the reader", 900), clockSkew: ms("clock skew", 40000),
			toSubscriber: func(at time.Duration) time.Duration {
				if at >= slowFrom {
					return slow
				}
				return time.Millisecond
			},
		}
		c.cutAt = ms("cut after the last answer", int(c.times.ProbeInterval/time.Millisecond))
		c.subscriberRead = c.times.ReadTime
		require.LessOrEqual(t, c.inForceAt()-c.cutAt, bound)
	})
}
