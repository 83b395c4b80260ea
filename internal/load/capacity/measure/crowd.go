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
	crowdHead        = time.Second
	crowdIncarnation = 1
)

// crowd answers links for many VMs in one process, so that a few real nodes hold
// the state of a large fleet. Its VMs agree with everything that they are told
// and make no links themselves.
type crowd struct {
	ctx    context.Context
	cancel context.CancelFunc
	key    []byte
	clock  event.Clock
	vms    map[string]*vmlist.VM // by peer address
	server *http.Server
	group  sync.WaitGroup
	tell   sync.Once // the records of all VMs, to the first peer
}

// startCrowd listens at the peer address of each VM. The addresses differ.
func startCrowd(vms []vmlist.VM, fleetKey string) (*crowd, error) {
	c := &crowd{key: []byte(fleetKey), vms: make(map[string]*vmlist.VM, len(vms))}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc(peer.Path, c.accept)
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: crowdHead}
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

func (c *crowd) close() {
	c.cancel()
	_ = c.server.Close() // links end with the context
	c.group.Wait()
}

// accept carries one link.
func (c *crowd) accept(w http.ResponseWriter, r *http.Request) {
	address, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok || c.vms[address.String()] == nil {
		http.Error(w, "no VM has this address", http.StatusNotFound)
		return
	}
	vm := c.vms[address.String()]
	node := peer.NewTransport(identityOf(vm), c.key, &c.clock, nil)
	l, err := node.Accept(w, r)
	if err != nil {
		return // Accept has answered
	}
	c.tell.Do(func() { c.tellAll(l) })
	var seq uint64
	_ = l.Run(c.ctx, func(m *peer.Message) { // how a link ends is the node's matter
		if m.Heartbeat != nil {
			seq++
			l.Send(&peer.Message{Heartbeat: echo(m.Heartbeat, seq)})
		}
		l.MessageHandled()
	})
}

// echo answers a beat with the same state.
func echo(b *peer.Heartbeat, seq uint64) *peer.Heartbeat {
	out := &peer.Heartbeat{Seq: seq, Ack: b.Seq, Documents: b.Documents, Digest: b.Digest}
	for k := range out.Documents {
		out.Documents[k].ReadAgeMs = peer.UnknownAgeMs()
	}
	return out
}

// tellAll queues the records of all VMs.
func (c *crowd) tellAll(l *peer.Link) {
	var list []peer.MemberRecord
	for _, vm := range c.vms {
		i := identityOf(vm)
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

func identityOf(vm *vmlist.VM) peer.Identity {
	return peer.Identity{
		VM: vm.Name, AvailabilityZone: vm.AvailabilityZone, Region: vm.Region, Service: vm.Service,
		PeerAddress: vm.PeerAddress, Incarnation: crowdIncarnation,
	}
}
