package proxy

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/fleetview"
)

const (
	// learnTimeout bounds the time for which a node that has just started asks others which
	// requests crashed endpoints.
	learnTimeout = 300 * time.Millisecond
	// learnWaitMax bounds how long the first calls wait for the end of this, counted from
	// the start of the process, in case it never learns which nodes it could ask.
	learnWaitMax = time.Second
	// learnRounds is the number of groups of nodes that are asked one after the other until
	// one of them has a complete answer.
	learnRounds = 2
	// learnPerZone is the number of nodes of a group from the own zone, and from others:
	// either may have been cut off when the crashes were reported.
	learnPerZone = 2
)

// crashLearner fetches, when the process starts, the losses that other nodes know. They were
// reported to the VM's previous process, which kept them in memory only.
type crashLearner struct {
	zone  string
	now   func() time.Duration
	begun atomic.Bool
	done  chan struct{} // closed when the losses were fetched or nobody can tell them
}

func newCrashLearner(c Config) *crashLearner {
	return &crashLearner{zone: c.Settings.AvailabilityZone, now: c.Now, done: make(chan struct{})}
}

// mayBegin reports, once, that the view names the nodes to ask.
func (l *crashLearner) mayBegin(v *fleetview.View) bool {
	if v.Index == nil || len(v.ByVM) == 0 {
		return false
	}
	return l.begun.CompareAndSwap(false, true)
}

// ended reports whether the node knows the losses that others could tell it.
func (l *crashLearner) ended() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// await waits until the node knows the losses of others, for a bounded time.
func (l *crashLearner) await(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, learnWaitMax-l.now())
	defer cancel()
	select {
	case <-l.done:
	case <-ctx.Done():
	}
}

// learn asks groups of other nodes until one of them knows all losses.
func (l *crashLearner) learn(members []*fleetview.Member, link func(*fleetview.Member) *calllink.Link) {
	defer close(l.done)
	ctx, cancel := context.WithTimeout(context.Background(), learnTimeout)
	defer cancel()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for range learnRounds {
		var group []*fleetview.Member
		group, members = l.nextGroup(members)
		if len(group) == 0 || askForCrashes(ctx, group, link) {
			return
		}
	}
}

// nextGroup splits off the nodes to ask next.
func (l *crashLearner) nextGroup(members []*fleetview.Member) (group, others []*fleetview.Member) {
	ownZone, otherZones := learnPerZone, learnPerZone
	for _, m := range members {
		quota := &otherZones
		if m.AvailabilityZone == l.zone {
			quota = &ownZone
		}
		if *quota == 0 {
			others = append(others, m)
			continue
		}
		*quota--
		group = append(group, m)
	}
	return group, others
}

// askForCrashes asks nodes at the same time and returns true as soon as one of them has
// told all losses, or false when none can.
func askForCrashes(ctx context.Context, group []*fleetview.Member, link func(*fleetview.Member) *calllink.Link) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan bool, len(group))
	var asked sync.WaitGroup
	for _, m := range group {
		asked.Go(func() {
			complete, err := link(m).FetchCrashes(ctx)
			answers <- err == nil && complete
		})
	}
	defer asked.Wait()
	defer cancel()
	for range group {
		if <-answers {
			return true
		}
	}
	return false
}
