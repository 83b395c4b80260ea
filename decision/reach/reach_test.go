package reach

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func TestLook(t *testing.T) {
	quiet := Link{Open: true, AwaitingReply: true, Overdue: 300 * ms, SinceReceived: 300 * ms}
	idle := Link{Open: true, Overdue: time.Hour, SinceReceived: time.Hour}
	tests := []struct {
		desc  string
		cut   bool // before
		links []Link
		is    bool
	}{
		{"no links", false, nil, false},
		{"links without calls are silent", false, []Link{idle, idle, idle}, false},
		{"one node stands still", false, []Link{quiet, idle}, false},
		{"two are silent", false, []Link{quiet, quiet, idle}, true},
		{"two are silent, a third is not", false, []Link{quiet, quiet, {Open: true, AwaitingReply: true, SinceReceived: 10 * ms}}, false},
		{"two that fail are no silence", false, []Link{{}, {}, idle}, false},
		{"silent links have been given up", true, []Link{{}, {}, idle}, true},
		{"one has been opened again", true, []Link{{}, {Open: true, SinceReceived: 20 * ms}, idle}, false},
		{"an idle one answers a probe", true, []Link{quiet, quiet, {Open: true, SinceReceived: 5 * ms}}, false},
		{"nothing is left that could tell of its return", true, []Link{idle}, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			z := Detector{cut: test.cut}
			require.Equal(t, test.is, z.Update(test.links))
		})
	}
}

// Times of a node's links (internal/calllink) and of its look at them.
const (
	lookEvery  = 50 * ms
	doubtAfter = 400 * ms
	lostAfter  = 900 * ms
	redial     = time.Second
)

// wire is one link of the simulation.
type wire struct {
	sentAt  time.Duration // of the oldest open call, or 0
	heardAt time.Duration
	closed  time.Duration // when it was given up, or 0
}

// playCut sends calls at a pace to links of a zone that is cut off from 1 s to 6 s,
// and returns the calls that were lost and the time from the cut's end to the first
// call that is answered. Calls go to any link that isn't doubted.
func playCut(links int, pace time.Duration, wholeZone bool) (lost int, back time.Duration) {
	const from, to, end = time.Second, 6 * time.Second, 9 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	wires := make([]wire, links)
	zone, cut := Detector{}, false
	for now := ms; now < end; now += ms {
		silent := now >= from && now < to
		if now%lookEvery == 0 {
			cut = zone.Update(look(wires, now, silent)) && wholeZone
		}
		if now%pace != 0 || cut {
			continue
		}
		w := &wires[random.IntN(links)]
		switch {
		case w.closed > 0 || w.sentAt > 0 && now-w.sentAt > doubtAfter:
			// doubted: the call goes to another zone
		case silent:
			lost++
			if w.sentAt == 0 {
				w.sentAt = now
			}
		default:
			w.heardAt = now
			if now >= to && back == 0 {
				back = now - to
			}
		}
	}
	return lost, back
}

// look tells of the links, gives up silent ones and opens them again.
func look(wires []wire, now time.Duration, silent bool) []Link {
	told := make([]Link, len(wires))
	for i := range wires {
		w := &wires[i]
		if w.sentAt > 0 && now-w.sentAt > lostAfter {
			w.sentAt, w.closed = 0, now
		}
		if w.closed > 0 && !silent && now-w.closed > redial {
			w.closed, w.heardAt = 0, now
		}
		told[i] = Link{Open: w.closed == 0, AwaitingReply: w.sentAt > 0, SinceReceived: now - w.heardAt}
		if w.sentAt > 0 {
			told[i].Overdue = now - w.sentAt
		}
	}
	return told
}

// A node with links to 50 others of a zone loses the calls of the moments before the
// cut is known, and not some for each link.
func TestCutCostsMomentsAndNotCallsOfEachLink(t *testing.T) {
	const pace = 50 * ms
	each, _ := playCut(50, pace, false)
	whole, back := playCut(50, pace, true)
	known := int((quietAfter+pace+lookEvery)/pace) + 1 // until the second call has been silent
	require.LessOrEqual(t, whole, known)
	require.Greater(t, each, 5*known, "what single links lose")
	require.LessOrEqual(t, back, redial+lostAfter)
}
