package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/adoption"
	"github.com/galenacart/galenacart/decision/readers"
	"github.com/galenacart/galenacart/internal/blackboard"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/platform"
	"github.com/galenacart/galenacart/internal/vmlist"
)

const (
	// firstCheckDelay is the time after its first read in which a started node
	// expects the catalogue from its peers before it reads it from the platform.
	firstCheckDelay = 1500 * time.Millisecond
	// checkReadWait is the wait of a read that is not a watch.
	checkReadWait = time.Millisecond
)

// readState is the state of the platform reads of one document.
type readState struct {
	busy           bool
	cancel         context.CancelFunc
	newestRevision uint64 // newest revision that the platform returned
	startedAt      time.Duration
	granted        int // tokens taken for the read in flight, one per second of its wait
	next           time.Duration
	failures       int
}

// platformController schedules and performs the reads of the platform.
type platformController struct {
	*thread
	stateWriter  *blackboard.Writer[platformState]
	offersWriter *blackboard.Writer[offers]
	client       *platform.Client
	readBudget   readers.TokenBucket
	random       *rand.Rand
	readStates   [keyCount]readState
	list         *vmlist.Table // the list from which zoneHashes and inZoneList were built
	zoneHashes   []uint64      // hashes of the live VMs of the node's zone
	inZoneList   bool
	salt         uint64 // for which isReader was determined
	isReader     bool
	firstReadAt  time.Duration // earliest time of the first read
	epoch        uint64
}

func newPlatformController(t *thread) *platformController {
	seed := xxhash.Sum64String(t.Settings.VM)
	p := &platformController{
		thread:       t,
		stateWriter:  t.board.platformState.Claim("platform controller"),
		offersWriter: t.board.platformOffers.Claim("platform controller"),
		client:       platform.NewClient(t.Settings.PlatformAddresses, t.HTTP),
		random:       rand.New(rand.NewPCG(seed, t.Incarnation)),
		epoch:        t.board.process.Get().epoch,
	}
	p.firstReadAt = t.now + time.Duration(p.random.Float64()*float64(t.StartWindow))
	p.readBudget = readers.NewTokenBucket(p.firstReadAt)
	for k := range p.readStates {
		p.readStates[k].next = p.firstReadAt
	}
	return p
}

// run starts the reads that are due.
func (p *platformController) run() {
	if process := p.board.process.Get(); process.epoch != p.epoch {
		p.beginEpoch(process.epoch)
	}
	p.updateReader()
	state := p.board.platformState.Get()
	before := state.duty
	for k := range keyCount {
		conditions := p.conditions(k)
		state.duty[k] = readers.ChooseDuty(conditions)
		if before[k] != readers.DutyCheck && state.duty[k] == readers.DutyCheck && conditions.ReadKnown {
			p.readBudget.Reset(p.now, p.random.Float64()) // other nodes begin to check at the same time
		}
	}
	for _, k := range p.readOrder() {
		if state.duty[k] != readers.DutyNone {
			p.startRead(k, state.duty[k])
		}
	}
	if before == state.duty {
		return
	}
	p.stateWriter.Set(state)
	if before[keyCatalogue] != state.duty[keyCatalogue] {
		p.Log.Emit(event.ReaderDuty, "", event.F("from", before[keyCatalogue].String()), event.F("to", state.duty[keyCatalogue].String()))
	}
}

// readOrder returns the documents, the least recently read first.
func (p *platformController) readOrder() [keyCount]key {
	if p.readStates[keyVMs].startedAt < p.readStates[keyCatalogue].startedAt {
		return [keyCount]key{keyVMs, keyCatalogue}
	}
	return [keyCount]key{keyCatalogue, keyVMs}
}

// beginEpoch cancels the reads that began before a pause of the process.
func (p *platformController) beginEpoch(epoch uint64) {
	p.epoch = epoch
	for k := range p.readStates {
		r := &p.readStates[k]
		if r.busy {
			r.cancel()
		}
		*r = readState{newestRevision: r.newestRevision, startedAt: r.startedAt}
	}
	p.readBudget.Reset(p.now, p.random.Float64()) // others may have been paused with this node
	p.firstReadAt = p.now
	p.stateWriter.Set(platformState{})
}

// updateReader determines from the VM list and the revisions in force whether this
// node is a reader.
func (p *platformController) updateReader() {
	documents := p.board.documents.Get()
	list := documents.byKey[keyVMs].list
	if list == nil {
		return
	}
	salt := readers.RoundSalt(documents.byKey[keyVMs].version.Revision, documents.byKey[keyCatalogue].version.Revision)
	if list == p.list && salt == p.salt {
		return
	}
	if list != p.list {
		p.updateZone(list)
	}
	p.salt = salt
	p.isReader = p.inZoneList && readers.IsReader(p.zoneHashes, xxhash.Sum64String(p.Settings.VM), salt)
}

// updateZone collects the live VMs of the node's zone from the list.
func (p *platformController) updateZone(list *vmlist.Table) {
	p.list, p.inZoneList, p.zoneHashes = list, false, p.zoneHashes[:0]
	for _, vm := range list.VMs {
		if vm.AvailabilityZone != p.Settings.AvailabilityZone || vm.State != vmlist.Live {
			continue
		}
		p.zoneHashes = append(p.zoneHashes, xxhash.Sum64String(vm.Name))
		p.inZoneList = p.inZoneList || vm.Name == p.Settings.VM
	}
}

func (p *platformController) conditions(k key) readers.Conditions {
	process := p.board.process.Get()
	newest := p.board.platformState.Get().lastRead[k].newer(p.board.peerReads.Get()[k])
	s := readers.Conditions{
		Listed:    p.inZoneList,
		Reader:    p.isReader,
		Leaving:   process.leaving,
		Uptime:    p.now - process.since,
		ReadKnown: newest.known,
		ReadAge:   p.now - newest.at,
	}
	if k == keyCatalogue && p.fleet() != 1 {
		s.StartGrace = firstCheckDelay + p.firstReadAt - process.since
	}
	return s
}

// fleet returns the number of VMs in the list, 0 when there is no list.
func (p *platformController) fleet() int {
	return p.board.members.Get().fleet
}

// startRead starts a read if it is due and the token bucket allows it.
func (p *platformController) startRead(k key, duty readers.Duty) {
	r := &p.readStates[k]
	if r.busy || p.now < r.next {
		return
	}
	want := 1
	if duty == readers.DutyWatch && r.newestRevision > 0 {
		want = int(readers.WatchWait / time.Second)
	}
	r.granted = p.readBudget.Take(p.now, p.fleet(), want)
	if r.granted == 0 {
		return
	}
	wait := checkReadWait
	if duty == readers.DutyWatch {
		wait = time.Duration(r.granted) * time.Second
	}
	ctx, cancel := context.WithCancel(p.ctx)
	r.busy, r.cancel, r.startedAt = true, cancel, p.now
	p.platformReads.Inc(1)
	epoch, newestRevision := p.epoch, r.newestRevision
	if newestRevision > 0 { // revisions received from peers since then need not be read
		newestRevision = max(newestRevision, p.board.documents.Get().byKey[k].version.Revision)
	}
	basis := basisOf(p.board.documents.Get().byKey[k])
	p.goTracked(func() {
		defer cancel()
		p.post(p.fetch(ctx, k, epoch, newestRevision, wait, basis))
	})
}

// fetch reads a document from the platform. It runs outside the control thread.
func (p *platformController) fetch(ctx context.Context, k key, epoch, after uint64, wait time.Duration, basis decodeBasis) readDone {
	done := readDone{key: k, epoch: epoch}
	var value *platform.Value
	var err error
	if after == 0 {
		value, err = p.client.Get(ctx, k.String())
	} else {
		value, err = p.client.Watch(ctx, k.String(), after, wait)
	}
	if err == nil {
		done.offer = decodeOffer(k, value.Revision, value.Data, basis, sourcePlatform)
		return done
	}
	if !errors.As(err, &done.failure) {
		done.failure = &platform.ReadError{Reason: platform.ReasonInvalidAnswer, Cause: err}
	}
	return done
}

// handleResult handles the result of a read.
func (p *platformController) handleResult(done readDone) {
	if done.epoch != p.epoch {
		return // it began before a pause of the process
	}
	r := &p.readStates[done.key]
	r.busy = false
	if done.offer != nil {
		p.recordSuccess(done.key, max(r.newestRevision, done.offer.version.Revision))
		all := p.board.platformOffers.Get()
		all[done.key] = done.offer
		p.offersWriter.Set(all)
		return
	}
	switch done.failure.Reason {
	case platform.ReasonUnchanged, platform.ReasonNotFound:
		p.recordSuccess(done.key, r.newestRevision)
		p.offerRevision(done)
	case platform.ReasonNoConnection:
		p.readBudget.Refund(r.granted)
		p.recordFailure(done)
	default:
		p.recordFailure(done)
	}
}

// recordSuccess records that the platform answered.
func (p *platformController) recordSuccess(k key, newestRevision uint64) {
	r := &p.readStates[k]
	r.newestRevision, r.failures = newestRevision, 0
	r.next = p.now
	if p.board.platformState.Get().duty[k] != readers.DutyWatch || newestRevision == 0 {
		r.next = p.now + time.Duration((1+p.random.Float64())*float64(time.Second))
	}
	state := p.board.platformState.Get()
	state.lastRead[k] = optionalTime{known: true, at: p.now}
	if state.failing {
		state.failing = false
		p.Log.Emit(event.PlatformRecovered, "")
	}
	p.stateWriter.Set(state)
}

// offerRevision offers the revision of an answer without a value, by which the
// adoption controller detects a platform that reverted to an older state.
func (p *platformController) offerRevision(done readDone) {
	if done.failure.Revision == 0 {
		return
	}
	all := p.board.platformOffers.Get()
	all[done.key] = &offer{key: done.key, source: sourcePlatform, version: adoption.Version{Revision: done.failure.Revision}}
	p.offersWriter.Set(all)
}

// recordFailure records a failed read of the platform.
func (p *platformController) recordFailure(done readDone) {
	r := &p.readStates[done.key]
	r.failures++
	state := p.board.platformState.Get()
	r.next = p.now + readers.Backoff(state.duty[done.key], r.failures, p.random.Float64())
	if !state.failing {
		p.Log.Emit(event.PlatformReadFailed, "", event.F("key", done.key.String()), event.F("error", done.failure.Error()))
	}
	state.failing, state.reason = true, done.failure.Reason
	p.stateWriter.Set(state)
}
