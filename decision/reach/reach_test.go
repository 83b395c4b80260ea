package reach

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func TestUpdate(t *testing.T) {
	silent := Link{Open: true, AwaitingReply: true, Overdue: 300 * ms, SinceReceived: 300 * ms}
	idle := Link{Open: true, Overdue: time.Hour, SinceReceived: time.Hour}
	tests := []struct {
		desc        string
		unreachable bool // before the update
		links       []Link
		want        bool
	}{
		{"no links", false, nil, false},
		{"idle links are not evaluated", false, []Link{idle, idle, idle}, false},
		{"one node is frozen", false, []Link{silent, idle}, false},
		{"two links are silent", false, []Link{silent, silent, idle}, true},
		{"two links are silent, a third is not", false, []Link{silent, silent, {Open: true, AwaitingReply: true, SinceReceived: 10 * ms}}, false},
		{"failed links do not count as silent", false, []Link{{}, {}, idle}, false},
		{"silent links have been closed", true, []Link{{}, {}, idle}, true},
		{"one link has been reopened", true, []Link{{}, {Open: true, SinceReceived: 20 * ms}, idle}, false},
		{"an idle link answers a probe", true, []Link{silent, silent, {Open: true, SinceReceived: 5 * ms}}, false},
		{"no silent or failed link is left", true, []Link{idle}, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			d := Detector{unreachable: test.unreachable}
			require.Equal(t, test.want, d.Update(test.links))
		})
	}
}

// Timing of a node's links (internal/calllink) and of the evaluation of them.
const (
	updateInterval = 50 * ms
	suspectAfter   = 400 * ms
	closeAfter     = 900 * ms
	redialAfter    = time.Second
)

// simulatedLink is one link of the simulation.
type simulatedLink struct {
	sentAt     time.Duration // of the oldest pending call, or 0
	receivedAt time.Duration
	closedAt   time.Duration // or 0 while the link is open
}

// simulatePartition sends a call at each interval to links of a zone that is unreachable
// from 1 s to 6 s. It returns the number of lost calls and the time from the end of the
// partition to the first answered call. Calls use any link that is not suspected.
func simulatePartition(links int, interval time.Duration, wholeZone bool) (lost int, recovery time.Duration) {
	const from, to, end = time.Second, 6 * time.Second, 9 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	simulated := make([]simulatedLink, links)
	detector, unreachable := Detector{}, false
	for now := ms; now < end; now += ms {
		silent := now >= from && now < to
		if now%updateInterval == 0 {
			unreachable = detector.Update(linkStates(simulated, now, silent)) && wholeZone
		}
		if now%interval != 0 || unreachable {
			continue
		}
		l := &simulated[random.IntN(links)]
		switch {
		case l.closedAt > 0 || l.sentAt > 0 && now-l.sentAt > suspectAfter:
			// suspected: the call goes to another zone
		case silent:
			lost++
			if l.sentAt == 0 {
				l.sentAt = now
			}
		default:
			l.receivedAt = now
			if now >= to && recovery == 0 {
				recovery = now - to
			}
		}
	}
	return lost, recovery
}

// linkStates returns the states of the links. It closes silent links and reopens them
// once the partition is over.
func linkStates(simulated []simulatedLink, now time.Duration, silent bool) []Link {
	states := make([]Link, len(simulated))
	for i := range simulated {
		l := &simulated[i]
		if l.sentAt > 0 && now-l.sentAt > closeAfter {
			l.sentAt, l.closedAt = 0, now
		}
		if l.closedAt > 0 && !silent && now-l.closedAt > redialAfter {
			l.closedAt, l.receivedAt = 0, now
		}
		states[i] = Link{Open: l.closedAt == 0, AwaitingReply: l.sentAt > 0, SinceReceived: now - l.receivedAt}
		if l.sentAt > 0 {
			states[i].Overdue = now - l.sentAt
		}
	}
	return states
}

// A node with links to 50 others in a zone loses only the calls made before the partition
// is detected, and not several calls on each link.
func TestLostCallsDoNotGrowWithTheNumberOfLinks(t *testing.T) {
	const interval = 50 * ms
	perLink, _ := simulatePartition(50, interval, false)
	perZone, recovery := simulatePartition(50, interval, true)
	bound := int((silenceThreshold+interval+updateInterval)/interval) + 1 // until a second link has been silent
	require.LessOrEqual(t, perZone, bound)
	require.Greater(t, perLink, 5*bound, "calls lost if each link is suspected on its own")
	require.LessOrEqual(t, recovery, redialAfter+closeAfter)
}
