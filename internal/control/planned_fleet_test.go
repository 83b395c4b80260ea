package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenacart/galenacart/decision/adoption"
	"github.com/galenacart/galenacart/decision/membership"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/peer"
	"github.com/galenacart/galenacart/internal/peer/delta"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/vmlist"
)

// plannedFleetSize is the number of VMs for which the product is planned.
const plannedFleetSize = 5900

// plannedNode is the control thread of a node in the planned fleet. It is not
// started; tests run its controllers directly.
type plannedNode struct {
	*thread
	vms          []vmlist.VM
	groupedList  []byte             // the VM list in its grouped form
	alternatives [2]*delta.Document // the list, and the list with one entry changed
}

func newPlannedNode(tb testing.TB) *plannedNode {
	p := &plannedNode{vms: absentVMs(plannedFleetSize)}
	p.thread = newThread(context.Background(), Config{
		Settings: &settings.Node{
			VM: "absent-0", AvailabilityZone: "absent", Region: "vestland", Service: "stock",
			PlatformAddresses: []string{platformAddress}, FleetKey: fleetKey,
		},
		Incarnation: 1,
		Log:         event.NewLog(io.Discard, "node", "absent-0", zerolog.ErrorLevel),
		Holder:      &fleetview.Holder{},
		Reports:     fleetview.NewReports(),
		Registry:    metrics.NewRegistry(),
		Now:         func() time.Duration { return 0 },
	})
	for i := range p.vms {
		p.vms[i].AvailabilityZone = fmt.Sprintf("absent-%d", i%10)
		p.vms[i].Service = fmt.Sprintf("stock-%d", i%190)
	}
	first := decodeOffer(keyVMs, 1, listOf(p.vms), basisOf(document{}), sourcePlatform)
	require.NoError(tb, first.fault)
	p.vms[plannedFleetSize/2].State = vmlist.Leaving
	var err error
	p.groupedList, err = json.Marshal(vmlist.NewGroupedList(&vmlist.List{VMs: p.vms}))
	require.NoError(tb, err)
	p.alternatives = [2]*delta.Document{first.document, decodeOffer(keyVMs, 2, listOf(p.vms), basisOf(document{}), sourcePlatform).document}
	p.adoption.adopt(first)
	p.runSecond()
	require.Len(tb, p.board.members.Get().byVM, plannedFleetSize)
	return p
}

// runSecond advances the time by a second and runs the controllers whose work
// depends on the VMs.
func (p *plannedNode) runSecond() {
	p.now += time.Second
	p.peers.updateTargets()
	p.platform.updateReader()
	p.membership.run()
	p.publisher.run()
	p.membership.clearUpdates()
}

// plannedOperations are recurring operations of a node. round counts from 1.
var plannedOperations = []struct {
	desc   string
	allocs float64 // at most; a copy of the view's map counts as a few
	do     func(p *plannedNode, round uint64) error
}{
	{"second without a change", 0, func(*plannedNode, uint64) error { return nil }},
	{"record of one VM", plannedFleetSize / 10, func(p *plannedNode, round uint64) error {
		vm := p.vms[1+round%1000]
		p.membership.mergeRecords([]peer.MemberRecord{{
			VM: vm.Name, AvailabilityZone: vm.AvailabilityZone, Region: vm.Region, Service: vm.Service,
			PeerAddress: vm.PeerAddress, Incarnation: round, Stamp: 10 + round,
		}}, "absent-1")
		return nil
	}},
	{"read of the list", 5 * plannedFleetSize, func(p *plannedNode, round uint64) error {
		on := basisOf(p.board.documents.Get().byKey[keyVMs])
		o := decodeOffer(keyVMs, 1+round, p.groupedList, on, sourcePlatform)
		p.adoption.evaluate(o)
		return o.fault
	}},
	{"change of one entry", plannedFleetSize / 10, func(p *plannedNode, round uint64) error {
		state := p.board.documents.Get().byKey[keyVMs]
		target := p.alternatives[round%2]
		version := adoption.Version{Revision: 1 + round, Hash: target.Hash()}
		o, err := decodeDelta(keyVMs, version, basisOf(state), state.document, delta.Diff(state.document, target), "absent-1")
		if err == nil {
			p.adoption.evaluate(o)
			err = o.fault
		}
		return err
	}},
}

// Guards against a change of one VM that costs work or memory for each other VM.
func TestPlannedFleetAllocationsAreBounded(t *testing.T) {
	for _, work := range plannedOperations {
		t.Run(work.desc, func(t *testing.T) {
			p, round := newPlannedNode(t), uint64(0)
			require.LessOrEqual(t, testing.AllocsPerRun(10, func() {
				round++
				require.NoError(t, work.do(p, round))
				p.runSecond()
			}), work.allocs)
		})
	}
}

func BenchmarkPlannedFleet(b *testing.B) {
	for _, work := range plannedOperations {
		b.Run(work.desc, func(b *testing.B) {
			p, round := newPlannedNode(b), uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				round++
				require.NoError(b, work.do(p, round))
				p.runSecond()
			}
		})
	}
}

// Guards against a starting node that adopts content which it has only read from
// the platform, while its peers have other content in force under that revision.
func TestGateWaitsForConflictingPeerContent(t *testing.T) {
	p := newPlannedNode(t)
	p.adoption.setCandidate(&offer{key: keyCatalogue, version: adoption.Version{Revision: 3}, source: sourcePlatform})
	theirs := adoption.Version{Revision: 3, Hash: adoption.Hash{1}}
	p.peers.links["absent-1"] = &link{Link: &peer.Link{}, heartbeatReceived: true, states: [keyCount]adoption.Version{keyCatalogue: theirs}}
	p.peers.publish()
	require.True(t, p.adoption.startState().NewerPending)
}

func TestRecordIsNotSentBackToItsSenders(t *testing.T) {
	p := newPlannedNode(t)
	p.gossip.forwardedAt, p.gossip.forwardScheduled = p.now, true
	list := []peer.MemberRecord{{VM: "absent-7", Stamp: 10, Incarnation: 1}}
	p.membership.mergeRecords(list, "absent-1")
	p.gossip.forwardRecords()
	p.membership.mergeRecords(list, "absent-2")
	require.Equal(t, []string{"absent-1", "absent-2"}, p.gossip.pending["absent-7"].from)
}

// Guards against an incremental update that misses a VM: the members and the view
// equal a full evaluation. A list built from a delta equals one decoded whole.
func TestIncrementalUpdateMatchesFullEvaluation(t *testing.T) {
	p := newPlannedNode(t)
	rapid.Check(t, func(t *rapid.T) {
		// Each check continues with the state of the previous one, with a list of
		// few VMs.
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			p.applyRandomChange(t)
			p.now += time.Duration(rapid.SampledFrom([]int{0, 1, 11, 130, 700}).Draw(t, "s")) * time.Second
			p.runSecond()
		}
		p.runSecond()
		requireFullEvaluation(t, p)
	})
}

// applyRandomChange applies new evidence of one VM, or another list.
func (p *plannedNode) applyRandomChange(t *rapid.T) {
	vm := p.vms[rapid.IntRange(0, 9).Draw(t, "vm")]
	state := p.board.documents.Get().byKey[keyVMs]
	switch rapid.IntRange(0, 3).Draw(t, "what") {
	case 0:
		list := append([]vmlist.VM{}, p.vms[:rapid.IntRange(1, 10).Draw(t, "length")]...)
		list = append(list, list[rapid.IntRange(0, len(list)-1).Draw(t, "twice")])
		list[rapid.IntRange(0, len(list)-1).Draw(t, "edited")].State = vmlist.Leaving
		whole := decodeOffer(keyVMs, state.version.Revision+1, listOf(list), basisOf(document{}), sourcePlatform)
		o, err := decodeDelta(keyVMs, whole.version, basisOf(state), state.document, delta.Diff(state.document, whole.document), "absent-1")
		require.NoError(t, err)
		require.Equal(t, whole.list, o.list)
		require.Equal(t, whole.version, decodeOffer(keyVMs, whole.version.Revision, listOf(list), basisOf(state), sourcePlatform).version)
		p.adoption.evaluate(o)
	case 1:
		said := peer.Lifecycle(rapid.IntRange(0, 2).Draw(t, "said"))
		p.membership.mergeRecords([]peer.MemberRecord{{VM: vm.Name, Stamp: uint64(p.now) + 10, Incarnation: uint64(p.now), State: said}}, "absent-1")
	case 2:
		kind := fleetview.ReportKind(rapid.IntRange(1, 2).Draw(t, "kind"))
		p.membership.observe(fleetview.Report{Kind: kind, VM: vm.Name})
	default:
		linked := map[string]linkInfo{vm.Name: {identity: peer.Identity{VM: vm.Name, Incarnation: uint64(p.now)}, confirmed: true}}
		p.peers.writer.Set(peers{linked: linked})
	}
}

func requireFullEvaluation(t require.TestingT, p *plannedNode) {
	all := p.board.members.Get()
	present := 0
	listed := make(map[string]*vmlist.VM)
	for _, vm := range p.board.documents.Get().byKey[keyVMs].list.VMs {
		listed[vm.Name] = vm
	}
	require.Equal(t, listed, p.membership.listed)
	for _, vm := range p.vms {
		one := all.byVM[vm.Name]
		known := listed[vm.Name] != nil || p.membership.records[vm.Name] != nil
		require.Equal(t, known, one != nil, vm.Name)
		if !known {
			continue
		}
		require.Equal(t, p.membership.evaluate(vm.Name), *one)
		if one.decision.State != membership.Gone {
			present++
			require.Contains(t, p.Holder.Load().ByService[one.identity.Service], p.Holder.Load().ByVM[vm.Name])
			require.Equal(t, one.decision.State == membership.Leaving, p.Holder.Load().ByVM[vm.Name].Leaving)
		}
	}
	require.Len(t, p.Holder.Load().ByVM, present)
	inServices := 0
	for _, list := range p.Holder.Load().ByService {
		inServices += len(list)
	}
	require.Equal(t, present, inServices)
	require.Equal(t, present-1, all.otherCount, "present VMs without this node")
}
