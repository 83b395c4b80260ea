package check

import (
	"path/filepath"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/timeline"
)

// revisionEvent records that a catalogue revision came into force on a VM.
type revisionEvent struct {
	vm       string
	at       time.Time
	revision uint64
}

// Revisions holds the catalogue revisions that were in force on nodes over a run.
type Revisions struct {
	byVM map[string][]revisionEvent // in the order of each node's log
}

// ReadRevisions reads the event logs of nodes.
func ReadRevisions(files ...string) (*Revisions, error) {
	r := &Revisions{byVM: map[string][]revisionEvent{}}
	for _, file := range files {
		log, err := timeline.ReadFile(file)
		if err != nil {
			return nil, errors.WithMessage(err, filepath.Base(file))
		}
		for i := range log.Events {
			if err := r.add(&log.Events[i]); err != nil {
				return nil, errors.WithMessage(err, filepath.Base(file))
			}
		}
	}
	return r, nil
}

func (r *Revisions) add(e *timeline.Event) error {
	if e.Number != event.CatalogueInForce {
		return nil
	}
	for _, f := range e.Fields {
		if f.Key != "revision" {
			continue
		}
		revision, err := strconv.ParseUint(f.Value, 10, 64)
		if err != nil {
			return errors.Wrap(err, "revision")
		}
		r.byVM[e.VM] = append(r.byVM[e.VM], revisionEvent{vm: e.VM, at: e.Time, revision: revision})
	}
	return nil
}

// CountRegressions counts the times that the revision of a node decreased,
// restarts included.
func (r *Revisions) CountRegressions() int {
	count := 0
	for _, list := range r.byVM {
		for i := 1; i < len(list); i++ {
			if list[i].revision < list[i-1].revision {
				count++
			}
		}
	}
	return count
}

// newest returns the largest revision in force on any node before a time.
func (r *Revisions) newest(before time.Time) uint64 {
	revision := uint64(0)
	for _, list := range r.byVM {
		for _, s := range list {
			if s.at.Before(before) {
				revision = max(revision, s.revision)
			}
		}
	}
	return revision
}

// firstReached returns when a VM first had a revision or a newer one in force.
func (r *Revisions) firstReached(vm string, revision uint64) (time.Time, bool) {
	for _, s := range r.byVM[vm] {
		if s.revision >= revision {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// lastReached returns the time at which the last of the VMs reached a revision,
// and the number of VMs that never did.
func (r *Revisions) lastReached(vms []string, revision uint64) (last time.Time, missing int) {
	for _, vm := range vms {
		at, ok := r.firstReached(vm, revision)
		switch {
		case !ok:
			missing++
		case at.After(last):
			last = at
		}
	}
	return last, missing
}
