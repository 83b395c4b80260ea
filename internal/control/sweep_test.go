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

// plannedFleet is the number of VMs that the product is planned for.
const plannedFleet = 5900

// planned is a node that has not been started, in the planned fleet.
type planned struct {
	*thread
	vms   []vmlist.VM
	text  []byte             // of the list in groups
	edits [2]*delta.Document // the list and the list with one entry changed
}

func newPlanned(tb testing.TB) *planned {
	p := &planned{vms: manyVMs(plannedFleet)}
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
	p.vms[plannedFleet/2].State = vmlist.Leaving
	var err error
	p.text, err = json.Marshal(vmlist.NewGroupedList(&vmlist.List{VMs: p.vms}))
	require.NoError(tb, err)
	p.edits = [2]*delta.Document{first.document, decodeOffer(keyVMs, 2, listOf(p.vms), basisOf(document{}), sourcePlatform).document}
	p.adoption.adopt(first)
	p.second()
	require.Len(tb, p.board.members.Get().byVM, plannedFleet)
	return p
}

// second lets a second pass and the controllers act that work on the VMs.
func (p *planned) second() {
	p.now += time.Second
	p.peers.updateTargets()
	p.platform.updateReader()
	p.membership.run()
	p.publisher.run()
	p.membership.clearNews()
}

// plannedWork is what a node does again and again. round counts from 1.
var plannedWork = []struct {
	desc   string
	allocs float64 // at most; a copy of the view's map counts as a few
	do     func(p *planned, round uint64) error
}{
	{"second without news", 0, func(*planned, uint64) error { return nil }},
	{"record of one VM", plannedFleet / 10, func(p *planned, round uint64) error {
		vm := p.vms[1+round%1000]
		p.membership.learn([]peer.MemberRecord{{
			VM: vm.Name, AvailabilityZone: vm.AvailabilityZone, Region: vm.Region, Service: vm.Service,
			PeerAddress: vm.PeerAddress, Incarnation: round, Stamp: 10 + round,
		}}, "absent-1")
		return nil
	}},
	{"read of the list", 5 * plannedFleet, func(p *planned, round uint64) error {
		on := basisOf(p.board.documents.Get().byKey[keyVMs])
		o := decodeOffer(keyVMs, 1+round, p.text, on, sourcePlatform)
		p.adoption.judge(o)
		return o.fault
	}},
	{"change of one entry", plannedFleet / 10, func(p *planned, round uint64) error {
		state := p.board.documents.Get().byKey[keyVMs]
		target := p.edits[round%2]
		version := adoption.Version{Revision: 1 + round, Hash: target.Hash()}
		o, err := decodeDelta(keyVMs, version, basisOf(state), state.document, delta.Diff(state.document, target), "absent-1")
		if err == nil {
			p.adoption.judge(o)
			err = o.fault
		}
		return err
	}},
}

// What one VM does costs no work, or memory, for each of the others.
func TestWorkOfThePlannedFleetAllocatesLittle(t *testing.T) {
	for _, work := range plannedWork {
		t.Run(work.desc, func(t *testing.T) {
			p, round := newPlanned(t), uint64(0)
			require.LessOrEqual(t, testing.AllocsPerRun(10, func() {
				round++
				require.NoError(t, work.do(p, round))
				p.second()
			}), work.allocs)
		})
	}
}

func BenchmarkPlannedFleet(b *testing.B) {
	for _, work := range plannedWork {
		b.Run(work.desc, func(b *testing.B) {
			p, round := newPlanned(b), uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				round++
				require.NoError(b, work.do(p, round))
				p.second()
			}
		})
	}
}

// A node that has only read a revision waits for what its peers have in force under it.
func TestContentOfThePeersIsAwaited(t *testing.T) {
	p := newPlanned(t)
	p.adoption.setCandidate(&offer{key: keyCatalogue, version: adoption.Version{Revision: 3}, source: sourcePlatform})
	theirs := adoption.Version{Revision: 3, Hash: adoption.Hash{1}}
	p.peers.links["absent-1"] = &link{Link: &peer.Link{}, told: true, states: [keyCount]adoption.Version{keyCatalogue: theirs}}
	p.peers.publish()
	require.True(t, p.adoption.knowledge().NewerPending)
}

func TestRecordIsNotToldToThoseWhoToldIt(t *testing.T) {
	p := newPlanned(t)
	p.spread.passedAt, p.spread.later = p.now, true
	list := []peer.MemberRecord{{VM: "absent-7", Stamp: 10, Incarnation: 1}}
	p.membership.learn(list, "absent-1")
	p.spread.passRecords()
	p.membership.learn(list, "absent-2")
	require.Equal(t, []string{"absent-1", "absent-2"}, p.spread.waiting["absent-7"].from)
}

// The states found by what changed are those that a look at all VMs finds, and
// the view holds them; a list made from a delta is the one read whole.
func TestWhatChangedIsAllThatChanges(t *testing.T) {
	p := newPlanned(t)
	rapid.Check(t, func(t *rapid.T) {
		// Each check goes on where the one before ended, with a list of few VMs.
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			p.disturb(t)
			p.now += time.Duration(rapid.SampledFrom([]int{0, 1, 11, 130, 700}).Draw(t, "s")) * time.Second
			p.second()
		}
		p.second()
		requireAllFound(t, p)
	})
}

// disturb draws new evidence of one VM, or another list.
func (p *planned) disturb(t *rapid.T) {
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
		p.adoption.judge(o)
	case 1:
		said := peer.Lifecycle(rapid.IntRange(0, 2).Draw(t, "said"))
		p.membership.learn([]peer.MemberRecord{{VM: vm.Name, Stamp: uint64(p.now) + 10, Incarnation: uint64(p.now), State: said}}, "absent-1")
	case 2:
		kind := fleetview.ReportKind(rapid.IntRange(1, 2).Draw(t, "kind"))
		p.membership.observe(fleetview.Report{Kind: kind, VM: vm.Name})
	default:
		linked := map[string]linkFact{vm.Name: {identity: peer.Identity{VM: vm.Name, Incarnation: uint64(p.now)}, confirmed: true}}
		p.peers.out.Set(peers{linked: linked})
	}
}

func requireAllFound(t require.TestingT, p *planned) {
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
		require.Equal(t, p.membership.find(vm.Name), *one)
		if one.finding.State != membership.Gone {
			present++
			require.Contains(t, p.Holder.Load().ByService[one.identity.Service], p.Holder.Load().ByVM[vm.Name])
			require.Equal(t, one.finding.State == membership.Leaving, p.Holder.Load().ByVM[vm.Name].Leaving)
		}
	}
	require.Len(t, p.Holder.Load().ByVM, present)
	served := 0
	for _, list := range p.Holder.Load().ByService {
		served += len(list)
	}
	require.Equal(t, present, served)
	require.Equal(t, present-1, all.others, "all but this node")
}
