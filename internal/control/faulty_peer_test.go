package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/adoption"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/peer"
	"github.com/galenacart/galenacart/internal/peer/delta"
	"github.com/galenacart/galenacart/internal/vmlist"
)

// faultyPeer is a peer that has the fleet key and violates the protocol.
type faultyPeer struct {
	link  *peer.Link
	cause chan error
}

// connectFaultyPeer links a faulty peer with the node of a VM.
func (f *fleet) connectFaultyPeer(t *testing.T, identity peer.Identity, vm vmlist.VM) *faultyPeer {
	node := peer.NewTransport(identity, []byte(fleetKey), &event.Clock{}, f.nodes[vm.Name].client)
	l, err := node.Dial(context.Background(), vm.Name, vm.PeerAddress)
	require.NoError(t, err)
	s := &faultyPeer{link: l, cause: make(chan error, 1)}
	go func() { s.cause <- l.Run(context.Background(), func(*peer.Message) { l.MessageHandled() }) }()
	return s
}

func identityOf(vm vmlist.VM, incarnation uint64) peer.Identity {
	return peer.Identity{
		VM: vm.Name, AvailabilityZone: vm.AvailabilityZone, Region: vm.Region,
		Service: vm.Service, PeerAddress: vm.PeerAddress, Incarnation: incarnation,
	}
}

func TestFaultyPeersAreDisconnectedAndOthersUnaffected(t *testing.T) {
	part := func(p peer.Part) *peer.Message { return &peer.Message{Part: &p} }
	cases := []struct {
		desc  string
		claim func(*fleet) peer.Identity
		send  []*peer.Message
		event string
	}{
		{
			"claims a VM whose node is linked",
			func(f *fleet) peer.Identity { return identityOf(f.vms[1], 99) }, nil, `"fault":"incarnation"`,
		},
		{
			"claims the node's own VM",
			func(f *fleet) peer.Identity { return identityOf(f.vms[0], 99) }, nil, `"fault":"identity"`,
		},
		{
			"claims another zone than listed",
			func(f *fleet) peer.Identity {
				i := identityOf(f.vms[1], 99)
				i.AvailabilityZone = "zone-9"
				return i
			}, nil, `"fault":"identity"`,
		},
		{
			"names another incarnation of itself",
			unlistedIdentity,
			[]*peer.Message{{MemberRecords: &peer.MemberRecords{List: []peer.MemberRecord{{VM: "new", Incarnation: 100, Stamp: 1 << 40}}}}},
			`"fault":"incarnation"`,
		},
		{
			"reverts to an older state",
			unlistedIdentity,
			[]*peer.Message{
				{Heartbeat: &peer.Heartbeat{Seq: 1, Documents: [peer.Documents]peer.DocumentState{{Revision: 2}}}},
				{Heartbeat: &peer.Heartbeat{Seq: 2, Documents: [peer.Documents]peer.DocumentState{{Revision: 1}}}},
			},
			`"fault":"garbage"`,
		},
		{
			"acknowledges a heartbeat that was not sent",
			unlistedIdentity,
			[]*peer.Message{{Heartbeat: &peer.Heartbeat{Seq: 1, Ack: 1 << 40}}},
			`"fault":"garbage"`,
		},
		{
			"announces a newer catalogue and sends other content",
			unlistedIdentity,
			[]*peer.Message{
				{Heartbeat: &peer.Heartbeat{Seq: 1, Documents: [peer.Documents]peer.DocumentState{{Revision: 50, Hash: adoption.Hash{1}}}}},
				part(peer.Part{Revision: 50, Hash: adoption.Hash{1}, Last: true, Steps: []delta.Step{{}}, Entries: [][]byte{[]byte("x\n1")}}),
			},
			`"fault":"garbage"`,
		},
		{
			"acknowledges nothing",
			unlistedIdentity, heartbeatsWithoutAck(60), `heartbeats are not acknowledged`,
		},
		{
			"sends nothing more",
			unlistedIdentity, nil, `"fault":"stall"`,
		},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			inFleet(t, 1, 3, func(t *testing.T, f *fleet) {
				time.Sleep(5 * time.Second)
				n := f.nodes["vm-0-0"]
				before := n.Status().Peers
				require.Len(t, before, 2)
				s := f.connectFaultyPeer(t, c.claim(f), f.vms[0])
				for _, m := range c.send {
					s.link.Send(m)
					time.Sleep(100 * time.Millisecond)
				}
				require.Error(t, <-s.cause)
				synctest.Wait()
				require.Contains(t, n.events.String(), c.event)
				require.True(t, f.inForce(2, ""))
				time.Sleep(3 * time.Second)
				require.Equal(t, before, n.Status().Peers)
			})
		})
	}
}

func heartbeatsWithoutAck(n uint64) []*peer.Message {
	var list []*peer.Message
	for seq := uint64(1); seq <= n; seq++ {
		list = append(list, &peer.Message{Heartbeat: &peer.Heartbeat{Seq: seq}})
	}
	return list
}

// unlistedIdentity is the identity of a VM that is not in the list.
func unlistedIdentity(*fleet) peer.Identity {
	return peer.Identity{VM: "new", AvailabilityZone: "zone-0", Region: "vestland", Service: "stock", PeerAddress: "new:1", Incarnation: 99}
}

func TestStoppedIncarnationIsRejected(t *testing.T) {
	inFleet(t, 1, 3, func(t *testing.T, f *fleet) {
		stopped := f.nodes["vm-0-1"].Incarnation()
		f.stop("vm-0-1")
		time.Sleep(time.Second)
		s := f.connectFaultyPeer(t, identityOf(f.vms[1], stopped), f.vms[0])
		require.Error(t, <-s.cause)
		synctest.Wait()
		require.Contains(t, f.nodes["vm-0-0"].events.String(), `"fault":"incarnation"`)
		require.Nil(t, f.nodes["vm-0-0"].holder.Load().ByVM["vm-0-1"])
	})
}

// Guards against nodes that keep forwarding the expired record of a removed VM to
// each other.
func TestExpiredRecordsAreNotForwarded(t *testing.T) {
	inFleet(t, 1, 3, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		n := f.nodes["vm-0-0"]
		s := f.connectFaultyPeer(t, unlistedIdentity(f), f.vms[0])
		old := peer.MemberRecord{VM: "dead", Incarnation: 7, Stamp: 1 << 40, AgeMs: peer.AgeMs(recordLifetime)}
		s.link.Send(&peer.Message{MemberRecords: &peer.MemberRecords{List: []peer.MemberRecord{old}}})
		time.Sleep(2 * time.Second)
		for _, other := range f.nodes {
			require.Nil(t, other.holder.Load().ByVM["dead"])
			require.NotContains(t, other.events.String(), `"dead"`)
			require.NotContains(t, other.events.String(), `"fault":"flood"`)
		}
		require.Len(t, n.Status().Peers, 3)
		s.link.Close(nil)
		require.Error(t, <-s.cause)
	})
}

// A false record of a live node is superseded by a newer one of that node.
func TestFalseRecordOfALiveNodeIsRefuted(t *testing.T) {
	inFleet(t, 2, 8, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		s := f.connectFaultyPeer(t, unlistedIdentity(f), f.vms[0])
		falseRecord := peer.MemberRecord{VM: "vm-0-1", Incarnation: 7, Stamp: 1 << 40, State: peer.Stopped}
		s.link.Send(&peer.Message{MemberRecords: &peer.MemberRecords{List: []peer.MemberRecord{falseRecord}}})
		time.Sleep(time.Second)
		for _, n := range f.nodes {
			m := n.holder.Load().ByVM["vm-0-1"]
			require.NotNil(t, m)
			require.False(t, m.Leaving)
			require.Equal(t, f.nodes["vm-0-1"].Incarnation(), m.Incarnation)
		}
		require.Contains(t, f.nodes["vm-0-1"].events.String(), `"event":2012`)
		s.link.Close(nil)
		require.Error(t, <-s.cause)
	})
}
