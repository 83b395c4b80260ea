package measure

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/peer"
)

func TestPeerSimulatorAnswersForEachVM(t *testing.T) {
	defer goleak.VerifyNone(t)
	vms := Size{Nodes: 3, Zones: 3, Services: 4, Listed: 2 * peer.MaxMemberRecords}.listed()
	const key = "a fleet key for the test"
	c, err := startPeerSimulator(vms, key)
	require.NoError(t, err)
	defer c.close()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	self := peer.Identity{VM: "vm-0", AvailabilityZone: zoneName(0), Region: region, Service: serviceFront, PeerAddress: "127.33.1.1:1", Incarnation: 7}
	node := peer.NewTransport(self, []byte(key), &event.Clock{}, client)
	last := &vms[len(vms)-1]
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	l, err := node.Dial(ctx, last.Name, last.PeerAddress)
	require.NoError(t, err)
	require.Equal(t, peerIdentity(last), l.Remote)
	l.Send(&peer.Message{Heartbeat: &peer.Heartbeat{Seq: 5, Digest: 99}})
	records := map[string]bool{}
	answered := false
	_ = l.Run(ctx, func(m *peer.Message) {
		switch {
		case m.MemberRecords != nil:
			for _, r := range m.MemberRecords.List {
				records[r.VM] = true
			}
		case m.Heartbeat != nil:
			require.Equal(t, uint64(5), m.Heartbeat.Ack)
			require.Equal(t, uint64(99), m.Heartbeat.Digest)
			answered = true
		}
		l.MessageHandled()
		if answered && len(records) == len(vms) {
			l.Close(nil)
		}
	})
	require.True(t, answered)
	require.Len(t, records, len(vms))
}
