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
	// checkPatience is the time after its first read for which a started node
	// leaves the catalogue to its peers before it reads it itself.
	checkPatience = 1500 * time.Millisecond
	// checkWait is the wait of a read that is no watch.
	checkWait = time.Millisecond
)

// reading is the state of the reads of one document.
type reading struct {
	busy     bool
	cancel   context.CancelFunc
	after    uint64 // newest revision that the platform told
	started  time.Duration
	granted  int // reads that the one in flight may cost
	next     time.Duration
	failures int
}

// platformController decides when to read the platform, and reads.
type platformController struct {
	*thread
	contact *blackboard.Writer[contact]
	offers  *blackboard.Writer[offers]
	client  *platform.Client
	share   readers.TokenBucket
	random  *rand.Rand
	reading [keyCount]reading
	list    *vmlist.Table // the list behind zone and listed
	zone    []uint64      // hashes of the live VMs of the node's zone
	listed  bool
	salt    uint64 // for which reader was found
	reader  bool
	first   time.Duration // when the node begins to read
	epoch   uint64
}

func newPlatformController(t *thread) *platformController {
	seed := xxhash.Sum64String(t.Settings.VM)
	p := &platformController{
		thread:  t,
		contact: t.board.contact.Claim("platform controller"),
		offers:  t.board.platformOffers.Claim("platform controller"),
		client:  platform.NewClient(t.Settings.PlatformAddresses, t.HTTP),
		random:  rand.New(rand.NewPCG(seed, t.Incarnation)),
		epoch:   t.board.life.Get().epoch,
	}
	p.first = t.now + time.Duration(p.random.Float64()*float64(t.StartWindow))
	p.share = readers.NewTokenBucket(p.first)
	for k := range p.reading {
		p.reading[k].next = p.first
	}
	return p
}

// run starts the reads that are due.
func (p *platformController) run() {
	if life := p.board.life.Get(); life.epoch != p.epoch {
		p.wake(life.epoch)
	}
	p.updateReader()
	state := p.board.contact.Get()
	before := state.duty
	for k := range keyCount {
		situation := p.situation(k)
		state.duty[k] = readers.ChooseDuty(situation)
		if before[k] != readers.DutyCheck && state.duty[k] == readers.DutyCheck && situation.ReadKnown {
			p.share.Reset(p.now, p.random.Float64()) // others begin to check at the same time
		}
	}
	for _, k := range p.order() {
		if state.duty[k] != readers.DutyNone {
			p.read(k, state.duty[k])
		}
	}
	if before == state.duty {
		return
	}
	p.contact.Set(state)
	if before[keyCatalogue] != state.duty[keyCatalogue] {
		p.Log.Emit(event.ReaderDuty, "", event.F("from", before[keyCatalogue].String()), event.F("to", state.duty[keyCatalogue].String()))
	}
}

// order returns the documents, the one that was not read for longest first.
func (p *platformController) order() [keyCount]key {
	if p.reading[keyVMs].started < p.reading[keyCatalogue].started {
		return [keyCount]key{keyVMs, keyCatalogue}
	}
	return [keyCount]key{keyCatalogue, keyVMs}
}

// wake voids what was begun before a pause of the process.
func (p *platformController) wake(epoch uint64) {
	p.epoch = epoch
	for k := range p.reading {
		r := &p.reading[k]
		if r.busy {
			r.cancel()
		}
		*r = reading{after: r.after, started: r.started}
	}
	p.share.Reset(p.now, p.random.Float64()) // others may have been paused with this node
	p.first = p.now
	p.contact.Set(contact{})
}

// updateReader finds out whether the VM list and the revisions in force make this
// node a reader.
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
		p.readZone(list)
	}
	p.salt = salt
	p.reader = p.listed && readers.IsReader(p.zone, xxhash.Sum64String(p.Settings.VM), salt)
}

// readZone finds the VMs of the node's zone in the list.
func (p *platformController) readZone(list *vmlist.Table) {
	p.list, p.listed, p.zone = list, false, p.zone[:0]
	for _, vm := range list.VMs {
		if vm.AvailabilityZone != p.Settings.AvailabilityZone || vm.State != vmlist.Live {
			continue
		}
		p.zone = append(p.zone, xxhash.Sum64String(vm.Name))
		p.listed = p.listed || vm.Name == p.Settings.VM
	}
}

func (p *platformController) situation(k key) readers.Conditions {
	life := p.board.life.Get()
	newest := p.board.contact.Get().read[k].newer(p.board.peerReads.Get()[k])
	s := readers.Conditions{
		Listed:    p.listed,
		Reader:    p.reader,
		Leaving:   life.leaving,
		Uptime:    p.now - life.since,
		ReadKnown: newest.known,
		ReadAge:   p.now - newest.at,
	}
	if k == keyCatalogue && p.fleet() != 1 {
		s.StartGrace = checkPatience + p.first - life.since
	}
	return s
}

// fleet returns the number of VMs in the list, 0 when there is no list.
func (p *platformController) fleet() int {
	return p.board.members.Get().fleet
}

// read starts a read if it is due and within the share.
func (p *platformController) read(k key, duty readers.Duty) {
	r := &p.reading[k]
	if r.busy || p.now < r.next {
		return
	}
	want := 1
	if duty == readers.DutyWatch && r.after > 0 {
		want = int(readers.WatchWait / time.Second)
	}
	r.granted = p.share.Take(p.now, p.fleet(), want)
	if r.granted == 0 {
		return
	}
	wait := checkWait
	if duty == readers.DutyWatch {
		wait = time.Duration(r.granted) * time.Second
	}
	ctx, cancel := context.WithCancel(p.ctx)
	r.busy, r.cancel, r.started = true, cancel, p.now
	p.reads.Inc(1)
	epoch, after := p.epoch, r.after
	if after > 0 { // what the peers told since then need not be read again
		after = max(after, p.board.documents.Get().byKey[k].version.Revision)
	}
	on := basisOf(p.board.documents.Get().byKey[k])
	p.goDo(func() {
		defer cancel()
		p.post(p.fetch(ctx, k, epoch, after, wait, on))
	})
}

// fetch runs outside the control thread.
func (p *platformController) fetch(ctx context.Context, k key, epoch, after uint64, wait time.Duration, on basis) readDone {
	done := readDone{key: k, epoch: epoch}
	var value *platform.Value
	var err error
	if after == 0 {
		value, err = p.client.Get(ctx, k.String())
	} else {
		value, err = p.client.Watch(ctx, k.String(), after, wait)
	}
	if err == nil {
		done.offer = decodeOffer(k, value.Revision, value.Data, on, sourcePlatform)
		return done
	}
	if !errors.As(err, &done.failure) {
		done.failure = &platform.ReadError{Reason: platform.ReasonInvalidAnswer, Cause: err}
	}
	return done
}

// finish takes the result of a read.
func (p *platformController) finish(done readDone) {
	if done.epoch != p.epoch {
		return // begun before a pause of the process
	}
	r := &p.reading[done.key]
	r.busy = false
	if done.offer != nil {
		p.succeed(done.key, max(r.after, done.offer.version.Revision))
		all := p.board.platformOffers.Get()
		all[done.key] = done.offer
		p.offers.Set(all)
		return
	}
	switch done.failure.Reason {
	case platform.ReasonUnchanged, platform.ReasonNotFound:
		p.succeed(done.key, r.after)
		p.noteRevision(done)
	case platform.ReasonNoConnection:
		p.share.Refund(r.granted)
		p.fail(done)
	default:
		p.fail(done)
	}
}

// succeed notes that the platform answered.
func (p *platformController) succeed(k key, after uint64) {
	r := &p.reading[k]
	r.after, r.failures = after, 0
	r.next = p.now
	if p.board.contact.Get().duty[k] != readers.DutyWatch || after == 0 {
		r.next = p.now + time.Duration((1+p.random.Float64())*float64(time.Second))
	}
	state := p.board.contact.Get()
	state.read[k] = fresh{known: true, at: p.now}
	if state.failing {
		state.failing = false
		p.Log.Emit(event.PlatformRecovered, "")
	}
	p.contact.Set(state)
}

// noteRevision passes on the revision that an answer without a value named. It
// shows a platform that has gone back to an older state.
func (p *platformController) noteRevision(done readDone) {
	if done.failure.Revision == 0 {
		return
	}
	all := p.board.platformOffers.Get()
	all[done.key] = &offer{key: done.key, source: sourcePlatform, version: adoption.Version{Revision: done.failure.Revision}}
	p.offers.Set(all)
}

// fail notes that the platform did not answer.
func (p *platformController) fail(done readDone) {
	r := &p.reading[done.key]
	r.failures++
	state := p.board.contact.Get()
	r.next = p.now + readers.Backoff(state.duty[done.key], r.failures, p.random.Float64())
	if !state.failing {
		p.Log.Emit(event.PlatformReadFailed, "", event.F("key", done.key.String()), event.F("error", done.failure.Error()))
	}
	state.failing, state.reason = true, done.failure.Reason
	p.contact.Set(state)
}
