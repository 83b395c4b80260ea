package measure

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/peer"
	"github.com/galenacart/galenacart/internal/vmlist"
)

const (
	simulatorHeaderTimeout = time.Second
	simulatedIncarnation   = 1
)

// peerSimulator accepts links for many VMs in one process, so that a few real
// nodes hold the state of a large fleet. Its VMs confirm every heartbeat and open
// no links themselves.
type peerSimulator struct {
	ctx         context.Context
	cancel      context.CancelFunc
	key         []byte
	clock       event.Clock
	vms         map[string]*vmlist.VM // by peer address
	server      *http.Server
	group       sync.WaitGroup
	recordsSent sync.Once // records of all VMs, sent to the first peer only
}

// startPeerSimulator listens on the peer address of each VM. The addresses must be
// unique.
func startPeerSimulator(vms []vmlist.VM, fleetKey string) (*peerSimulator, error) {
	c := &peerSimulator{key: []byte(fleetKey), vms: make(map[string]*vmlist.VM, len(vms))}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc(peer.Path, c.acceptLink)
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: simulatorHeaderTimeout}
	for i := range vms {
		c.vms[vms[i].PeerAddress] = &vms[i]
		l, err := net.Listen("tcp", vms[i].PeerAddress)
		if err != nil {
			c.close()
			return nil, errors.Wrap(err, "listen for a listed VM")
		}
		c.group.Go(func() { _ = c.server.Serve(l) }) // ends with close
	}
	return c, nil
}

func (c *peerSimulator) close() {
	c.cancel()
	_ = c.server.Close() // links end with the context
	c.group.Wait()
}

// acceptLink accepts one link and runs it until it ends.
func (c *peerSimulator) acceptLink(w http.ResponseWriter, r *http.Request) {
	address, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok || c.vms[address.String()] == nil {
		http.Error(w, "no VM has this address", http.StatusNotFound)
		return
	}
	vm := c.vms[address.String()]
	node := peer.NewTransport(peerIdentity(vm), c.key, &c.clock, nil)
	l, err := node.Accept(w, r)
	if err != nil {
		return // Accept has written the response
	}
	c.recordsSent.Do(func() { c.sendMemberRecords(l) })
	var seq uint64
	_ = l.Run(c.ctx, func(m *peer.Message) { // the node handles the end of a link
		if m.Heartbeat != nil {
			seq++
			l.Send(&peer.Message{Heartbeat: answerHeartbeat(m.Heartbeat, seq)})
		}
		l.MessageHandled()
	})
}

// answerHeartbeat returns a heartbeat that acknowledges b with the same state.
func answerHeartbeat(b *peer.Heartbeat, seq uint64) *peer.Heartbeat {
	out := &peer.Heartbeat{Seq: seq, Ack: b.Seq, Documents: b.Documents, Digest: b.Digest}
	for k := range out.Documents {
		out.Documents[k].ReadAgeMs = peer.UnknownAgeMs()
	}
	return out
}

// sendMemberRecords queues the records of all VMs on a link.
func (c *peerSimulator) sendMemberRecords(l *peer.Link) {
	var list []peer.MemberRecord
	for _, vm := range c.vms {
		i := peerIdentity(vm)
		list = append(list, peer.MemberRecord{
			VM: i.VM, AvailabilityZone: i.AvailabilityZone, Region: i.Region, Service: i.Service,
			PeerAddress: i.PeerAddress, Incarnation: i.Incarnation, Stamp: 1, State: peer.Live,
		})
	}
	for len(list) > 0 {
		n := min(len(list), peer.MaxMemberRecords)
		l.Send(&peer.Message{MemberRecords: &peer.MemberRecords{List: list[:n]}})
		list = list[n:]
	}
}

func peerIdentity(vm *vmlist.VM) peer.Identity {
	return peer.Identity{
		VM: vm.Name, AvailabilityZone: vm.AvailabilityZone, Region: vm.Region, Service: vm.Service,
		PeerAddress: vm.PeerAddress, Incarnation: simulatedIncarnation,
	}
}
