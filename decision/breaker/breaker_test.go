package breaker

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSingleBreaksHoldUpNoCall(t *testing.T) {
	b := &Breaker{}
	for range 10 {
		for range breaksMax - 1 {
			require.NotNil(t, b.Admit(0, false, 0))
			require.False(t, b.Broke())
		}
		require.NotNil(t, b.Admit(0, false, 0))
		require.False(t, b.Answered(0))
	}
}

func TestBrokenEndpointIsProbed(t *testing.T) {
	for _, test := range []struct {
		desc       string
		idempotent bool
		interval   time.Duration
	}{
		{"by calls that may run twice", true, probeInterval},
		{"seldom by others", false, probeIntervalOnce},
	} {
		t.Run(test.desc, func(t *testing.T) {
			b := &Breaker{}
			for i := range breaksMax {
				require.NotNil(t, b.Admit(0, test.idempotent, 0))
				require.Equal(t, i == breaksMax-1, b.Broke(), "it is told once")
			}
			require.Nil(t, b.Admit(test.interval-1, test.idempotent, 0))
			require.NotNil(t, b.Admit(test.interval, test.idempotent, 0))
			require.Nil(t, b.Admit(test.interval+1, test.idempotent, 0), "one at a time")
			require.False(t, b.Broke())
			require.NotNil(t, b.Admit(2*test.interval, test.idempotent, 0))
			require.True(t, b.Answered(2*test.interval))
			require.NotNil(t, b.Admit(2*test.interval, test.idempotent, 0))
			require.NotNil(t, b.Admit(2*test.interval, test.idempotent, 0))
		})
	}
}

// TestEndpointThatGoesDownByTurns plays calls at an endpoint that is down and up for a
// second each, and breaks all calls while it is down.
func TestEndpointThatGoesDownByTurns(t *testing.T) {
	const (
		gap     = time.Millisecond
		turn    = time.Second
		length  = 20 * time.Second
		lostMax = 0.02 // of the calls while it is down
		usedMin = 0.85 // of the calls while it is up
	)
	b := &Breaker{}
	lost, down, used, up := 0, 0, 0, 0
	for now := time.Duration(0); now < length; now += gap {
		works, sent := now/turn%2 == 0, b.Admit(now, now%(2*gap) == 0, 0) != nil
		switch {
		case works && sent:
			up++
			used++
			b.Answered(now)
		case works:
			up++
		case sent:
			down++
			lost++
			b.Broke()
		default:
			down++
		}
	}
	require.LessOrEqual(t, float64(lost), lostMax*float64(down), "%d of %d lost", lost, down)
	require.GreaterOrEqual(t, float64(used), usedMin*float64(up), "%d of %d used", used, up)
}

func TestSilence(t *testing.T) {
	const usual = 400 * time.Millisecond
	const patience = usual * silentFactor / 100
	tests := []struct {
		desc   string
		play   func(b *Breaker)
		now    time.Duration
		silent bool
	}{
		{"several calls without an answer", func(b *Breaker) { admit(b, 0, 3, usual) }, patience + 1, true},
		{"not yet longer than usual", func(b *Breaker) { admit(b, 0, 3, usual) }, patience, false},
		{"too few calls to tell", func(b *Breaker) { admit(b, 0, 2, usual) }, time.Hour, false},
		{"calls whose usual time is not known", func(b *Breaker) { admit(b, 0, 9, 0) }, time.Hour, false},
		{"another call was answered meanwhile", func(b *Breaker) { admit(b, 0, 9, usual); b.Answered(patience / 2) }, patience + 1, false},
		{"none since the last answer", func(b *Breaker) { admit(b, 0, 9, usual); b.Answered(patience / 2) }, 2 * patience, true},
		{"the calls ended", func(b *Breaker) {
			for _, s := range admit(b, 0, 9, usual) {
				b.End(s)
			}
		}, time.Hour, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b := &Breaker{}
			test.play(b)
			require.Equal(t, test.silent, b.FellSilent(test.now))
			require.Equal(t, test.silent, b.Broken())
			require.False(t, b.FellSilent(test.now), "it is told once")
			b.Answered(test.now)
			require.False(t, b.Broken())
		})
	}
}

func admit(b *Breaker, now time.Duration, count int, usual time.Duration) (sent []*Sent) {
	for range count {
		sent = append(sent, b.Admit(now, true, usual))
	}
	return sent
}

// TestEndpointThatFallsSilent plays calls with a time of 1.2 s at an endpoint that answers
// within 0.4 s on average and falls silent for 5 s. Beside it stands another one, so that what
// is not sent is served.
func TestEndpointThatFallsSilent(t *testing.T) {
	const (
		gap      = 40 * time.Millisecond
		usual    = 400 * time.Millisecond
		timeout  = 1200 * time.Millisecond
		silentAt = 5 * time.Second
		soundAt  = 10 * time.Second
		length   = 15 * time.Second
		lostMax  = 0.3 // of the calls while it is silent; all of them without the guard
	)
	type call struct {
		sent *Sent
		end  time.Duration
		lost bool
	}
	b := &Breaker{}
	random := rand.New(rand.NewPCG(1, 1))
	var open []call
	lost, silent, refused := 0, 0, 0
	for now := time.Duration(0); now < length; now += gap {
		kept := open[:0]
		for _, c := range open {
			if c.end > now {
				kept = append(kept, c)
				continue
			}
			b.End(c.sent)
			if !c.lost {
				b.Answered(now)
			}
		}
		open = kept
		b.FellSilent(now)
		isSilent := now >= silentAt && now < soundAt
		if isSilent {
			silent++
		}
		s := b.Admit(now, true, usual)
		switch took := time.Duration(float64(usual) * (0.5 + random.Float64())); {
		case s == nil && now > soundAt+time.Second:
			refused++
		case s == nil:
		case isSilent || now < soundAt && now+took >= silentAt && now < silentAt:
			open = append(open, call{s, now + timeout, true})
			if isSilent {
				lost++
			}
		default:
			open = append(open, call{s, now + took, false})
		}
	}
	require.LessOrEqual(t, float64(lost), lostMax*float64(silent), "%d of %d lost", lost, silent)
	require.Zero(t, refused, "it is in use again a second after it answers")
}
