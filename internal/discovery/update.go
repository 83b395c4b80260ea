package discovery

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/readers"
	"github.com/galenacart/galenacart/decision/registry"
	"github.com/galenacart/galenacart/decision/storeera"
)

// pendingUpdatesMax limits the updates queued for a subscriber. One that falls further behind
// is closed, and subscribes again from a snapshot.
const pendingUpdatesMax = 256

// Update is what one directory sends to another: a snapshot, or the changes since the
// previous update. An empty update is a heartbeat.
type Update struct {
	// At is the position in the source's history up to which the receiver has all changes
	// after this update. Its revision is 0 if that is unchanged.
	At storeera.Position
	// Configuration is a new configuration, or nil.
	Configuration *Configuration `cbor:",omitempty"`
	// Whole is true for a snapshot: Endpoints contains all endpoints.
	Whole bool `cbor:",omitempty"`
	// Endpoints contains new or changed endpoints of all services that the source publishes.
	// The receiver applies its own configuration to them.
	Endpoints []registry.Entry `cbor:",omitempty"`
	// Kept contains the IDs of endpoints whose entries are missing from the store, and which the sender
	// keeps as these may be republished. In a snapshot they are also in Endpoints.
	Kept []string `cbor:",omitempty"`
	// NamesKept says that Kept is complete in a snapshot. Nodes of an earlier version don't name what they
	// keep.
	NamesKept bool `cbor:",omitempty"`
	// Removed contains the IDs of removed endpoints. Nodes of an earlier version also name those
	// of services that their configuration doesn't name.
	Removed []string `cbor:",omitempty"`
	// Gone contains, in a snapshot, the removed endpoints: the receiver may still get older
	// entries of them.
	Gone []registry.Entry `cbor:",omitempty"`
	// Final contains the IDs of the endpoints in Gone that only a newer entry adds again.
	Final []string `cbor:",omitempty"`
	// Freshness says when the source confirmed the state that the receiver has after this
	// update. It is nil if further updates are queued.
	Freshness *readers.Freshness `cbor:",omitempty"`
}

// DecodeUpdate decodes an update from another node.
func DecodeUpdate(data []byte) (*Update, error) {
	u := &Update{}
	if err := cbor.Unmarshal(data, u); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	if c := u.Configuration; c != nil && (c.Catalogue == nil || len(c.Catalogue.Classes) == 0) {
		return nil, errors.New("configuration without classes")
	}
	return u, nil
}

// Subscriber receives the updates of a directory in order.
type Subscriber struct {
	// C delivers the updates. It is closed when the subscriber falls too far behind.
	C chan *Update
}

// Subscribe returns a snapshot of the directory and a subscriber for the changes after it.
func (d *Directory) Subscribe() (*Update, *Subscriber) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &Subscriber{C: make(chan *Update, pendingUpdatesMax)}
	d.subscribers[s] = struct{}{}
	return d.snapshot(d.position), s
}

// snapshot returns the whole state as an update. The caller holds d.mu.
func (d *Directory) snapshot(at storeera.Position) *Update {
	u := &Update{At: at, Configuration: d.configuration, Whole: true, NamesKept: true}
	for _, e := range d.endpoints.Stored() {
		u.Endpoints = append(u.Endpoints, e.Entry)
		if e.Kept {
			u.Kept = append(u.Kept, e.ID)
		}
	}
	for _, removal := range d.endpoints.Removed() {
		u.Gone = append(u.Gone, removal.Entry)
		if removal.Final {
			u.Final = append(u.Final, removal.Entry.ID)
		}
	}
	return u
}

// removals returns the removals that a snapshot contains.
func (u *Update) removals() []registry.Removal {
	removals := make([]registry.Removal, 0, len(u.Gone))
	for _, e := range u.Gone {
		removals = append(removals, registry.Removal{Entry: e, Final: slices.Contains(u.Final, e.ID)})
	}
	return removals
}

// Heartbeat returns an update without changes.
func (d *Directory) Heartbeat() *Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &Update{At: storeera.Position{Era: d.position.Era}}
}

// Unsubscribe closes a subscriber.
func (d *Directory) Unsubscribe(s *Subscriber) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closeSubscriber(s)
}

func (d *Directory) closeSubscriber(s *Subscriber) {
	if _, subscribed := d.subscribers[s]; subscribed {
		delete(d.subscribers, s)
		close(s.C)
	}
}

// broadcast queues an update with the current era for every subscriber.
func (d *Directory) broadcast(u *Update) {
	u.At.Era = d.position.Era
	for s := range d.subscribers {
		select {
		case s.C <- u:
		default:
			d.closeSubscriber(s)
		}
	}
}

// broadcastEndpoints sends the difference between the stored endpoints and those sent before.
func (d *Directory) broadcastEndpoints() {
	u := &Update{}
	stored := d.endpoints.Stored()
	current := make(map[string]registry.StoredEntry, len(stored))
	for _, e := range stored {
		current[e.ID] = e
		before, known := d.published[e.ID]
		same := known && before.EqualExceptSequence(e.Entry)
		if same && before.Kept == e.Kept {
			continue
		}
		if !same || !e.Kept {
			u.Endpoints = append(u.Endpoints, e.Entry)
		}
		if e.Kept {
			u.Kept = append(u.Kept, e.ID)
		}
	}
	for id := range d.published {
		if _, exists := current[id]; !exists {
			u.Removed = append(u.Removed, id)
		}
	}
	d.published = current
	if len(u.Endpoints)+len(u.Kept)+len(u.Removed) > 0 {
		d.broadcast(u)
	}
}

// AdvanceRevision records that all changes up to a revision of the current era are applied,
// and that the source had no others at the time asOf.
func (d *Directory) AdvanceRevision(revision uint64, asOf time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmedAt = max(d.confirmedAt, asOf)
	if revision > d.position.Revision {
		d.position.Revision = revision
		d.broadcast(&Update{At: d.position})
	}
}

// Position returns the position in the source's history up to which all changes are applied.
func (d *Directory) Position() storeera.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.position
}

// Now returns the time since the start of the process.
func (d *Directory) Now() time.Duration {
	return d.now()
}

// StateAge returns the time since the source confirmed that this directory has all changes.
func (d *Directory) StateAge() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now() - d.confirmedAt
}

// FreshnessFor returns the freshness of the next message to a subscriber whose time echo
// was received at echoAt, or nil if further updates are queued for it.
func (d *Directory) FreshnessFor(s *Subscriber, echo, echoAt time.Duration) *readers.Freshness {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(s.C) > 0 {
		return nil
	}
	f := readers.NewFreshness(d.now()-d.confirmedAt, echo, d.now()-echoAt)
	return &f
}

// ConfirmUnchanged records that the source had no changes at the time asOf that this
// directory lacks. Subscribers learn of it at once.
func (d *Directory) ConfirmUnchanged(asOf time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmedAt = max(d.confirmedAt, asOf)
	d.broadcast(&Update{})
}

// ConfirmedBySender records that the sender of updates is assumed to have all changes. It is
// for nodes of an earlier version, whose updates have no Freshness.
func (d *Directory) ConfirmedBySender() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmedAt = d.now()
}

// SourceAvailable reports whether the source responds.
func (d *Directory) SourceAvailable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.sourceFailed
}

// ApplyUpdate applies an update from another directory. It returns false and changes nothing
// if the update has an earlier era, or is a snapshot older than this directory.
func (d *Directory) ApplyUpdate(u *Update) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u.At.Era < d.position.Era || u.Whole && u.At.Before(d.position) {
		return false
	}
	if u.At.Era != d.position.Era {
		d.endpoints.FinalizeRemoved()
	}
	if u.Whole {
		d.sourceRecovered()
	}
	if u.Configuration != nil {
		d.applyConfiguration(u.Configuration)
	}
	if d.applyEndpoints(u) {
		d.publish()
	}
	if d.position.Before(u.At) {
		d.position = u.At
	}
	if u.Freshness != nil {
		d.confirmedAt = max(d.confirmedAt, min(u.Freshness.ConfirmedAt(), d.now()))
	}
	return true
}

func (d *Directory) applyEndpoints(u *Update) (changed bool) {
	now := d.now()
	u.Endpoints = d.dropInvalid(u.Endpoints)
	for _, removal := range u.removals() {
		changed = d.endpoints.MergeRemoval(now, removal) || changed
	}
	stored := u.stored()
	if u.Whole {
		if !u.NamesKept {
			stored = slices.DeleteFunc(stored, func(e registry.StoredEntry) bool { return d.endpoints.KnowsRemoval(e.Entry) })
		}
		return d.endpoints.ReplaceStored(now, stored) || changed
	}
	for _, e := range stored {
		changed = d.endpoints.PutStored(now, e) || changed
	}
	for _, id := range u.Kept {
		changed = d.endpoints.KeepKnown(now, id) || changed
	}
	for _, id := range u.Removed {
		changed = d.endpoints.RemoveWithoutGrace(now, id) || changed
	}
	return changed
}

// stored returns the entries that an update contains.
func (u *Update) stored() []registry.StoredEntry {
	kept := make(map[string]bool, len(u.Kept))
	for _, id := range u.Kept {
		kept[id] = true
	}
	stored := make([]registry.StoredEntry, 0, len(u.Endpoints))
	for _, e := range u.Endpoints {
		stored = append(stored, registry.StoredEntry{Entry: e, Kept: kept[e.ID]})
	}
	return stored
}
