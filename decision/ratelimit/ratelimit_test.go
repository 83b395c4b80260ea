package ratelimit

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

const (
	step = 10 * time.Millisecond
	// window and the bound on it are the users': one and a half times the named rate, and
	// five calls.
	window = 4 * time.Second
)

func allowed(perSecond float64) float64 {
	return 1.5*perSecond*window.Seconds() + 5
}

// mostInWindow returns the largest number of ascending times in any window.
func mostInWindow(times []time.Duration) (most int) {
	first := 0
	for i, at := range times {
		for at-times[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// endpoint answers each call after a time, and names its rate in each answer.
type endpoint struct {
	perSecond float64
	answerIn  time.Duration
	answersAt []time.Duration
	calls     []time.Duration
}

func (e *endpoint) play(l *Limiter, from, to time.Duration, offered int) {
	for now := from; now < to; now += step {
		for len(e.answersAt) > 0 && e.answersAt[0] <= now {
			e.answersAt = e.answersAt[1:]
			l.RecordAnswer(now, e.perSecond)
		}
		for range offered {
			if l.Take(now, len(e.answersAt)) {
				e.calls = append(e.calls, now)
				e.answersAt = append(e.answersAt, now+e.answerIn)
			}
		}
	}
}

// TestRateHoldsInEveryWindowAcrossRestarts offers far more calls than the endpoint takes and
// replaces the limiter, as a restart of its node does.
func TestRateHoldsInEveryWindowAcrossRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &endpoint{
			perSecond: rapid.Float64Range(0.001, 200).Draw(t, "rate"),
			answerIn:  time.Duration(rapid.IntRange(5, 900).Draw(t, "answer ms")) * time.Millisecond,
		}
		restartAt := time.Duration(rapid.IntRange(2000, 9000).Draw(t, "restart ms")) * time.Millisecond
		first := &Limiter{}
		first.RecordAnswer(0, e.perSecond)
		e.play(first, 0, restartAt, 3)
		e.answersAt = nil
		second := &Limiter{}
		second.AwaitFirstAnswer()
		e.play(second, restartAt, 15*time.Second, 3)
		require.LessOrEqual(t, float64(mostInWindow(e.calls)), allowed(e.perSecond))
	})
}

func TestWholeRateIsUsed(t *testing.T) {
	for _, perSecond := range []float64{1, 7.5, 60} {
		l := &Limiter{}
		l.RecordAnswer(0, perSecond)
		e := &endpoint{perSecond: perSecond, answerIn: 100 * time.Millisecond}
		e.play(l, 0, 10*time.Second, 2)
		require.InDelta(t, 10*perSecond, len(e.calls), 2+0.02*10*perSecond, "rate %v", perSecond)
	}
}

func TestEndOfALimitIsFoundOut(t *testing.T) {
	l := &Limiter{}
	l.RecordAnswer(0, 1e-9)
	e := &endpoint{answerIn: 100 * time.Millisecond}
	e.play(l, 0, 8*time.Second, 1)
	_, limited := l.Limit()
	require.False(t, limited)
	require.True(t, l.Take(8*time.Second, 1000))
}

func TestLimiter(t *testing.T) {
	l := &Limiter{}
	require.True(t, l.Take(0, 1000), "an endpoint that names nothing takes any rate")
	require.True(t, l.RecordAnswer(0, 10))
	require.False(t, l.RecordAnswer(0, 10))
	require.False(t, l.Take(50*time.Millisecond, 0))
	require.Equal(t, 150*time.Millisecond, l.Wait(50*time.Millisecond, 1))
	require.True(t, l.Take(100*time.Millisecond, 0))
	require.Equal(t, 3, l.Concurrency(80, 250*time.Millisecond))
	require.True(t, l.RecordAnswer(0, 0))
	require.Equal(t, 80, l.Concurrency(80, 250*time.Millisecond))
	require.Zero(t, l.Wait(0, 9))

	l.AwaitFirstAnswer()
	require.True(t, l.Take(0, unknownInFlightMax-1))
	require.False(t, l.Take(0, unknownInFlightMax))
}
