package traffic

import (
	"sync"

	"github.com/galenacart/galenacart/internal/call"
)

// lossesMax bounds the requests listed in a call's metadata.
const lossesMax = 8

// losses are the known endpoint losses caused by the calls of one request. They
// are sent with its calls and answers, because its next attempt may arrive
// before the report over peer links.
type losses struct {
	inheritedPossibleCrash bool // an attempt upstream may have crashed an endpoint

	mu            sync.Mutex
	possibleCrash bool // an attempt by this node or downstream may have crashed an endpoint
	entries       []call.EndpointLoss
}

func newLosses(known []call.EndpointLoss, inheritedPossibleCrash bool) *losses {
	l := &losses{inheritedPossibleCrash: inheritedPossibleCrash}
	for _, loss := range known {
		l.add(loss)
	}
	return l
}

// add records the endpoint losses caused by one call. For a call that is already
// listed, the larger count is kept.
func (l *losses) add(loss call.EndpointLoss) {
	if loss.Count == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.entries {
		if l.entries[i].Fingerprint == loss.Fingerprint {
			l.entries[i].Count = max(l.entries[i].Count, loss.Count)
			return
		}
	}
	if len(l.entries) < lossesMax {
		l.entries = append(l.entries, loss)
	}
}

// recordPossibleCrash records that an attempt may have crashed an endpoint.
func (l *losses) recordPossibleCrash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.possibleCrash = true
}

// hasPossibleCrashBelow reports whether an attempt by this node or downstream may
// have crashed an endpoint without a report.
func (l *losses) hasPossibleCrashBelow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.possibleCrash
}

// hasPossibleCrash reports whether any known attempt of the root request may have
// crashed an endpoint.
func (l *losses) hasPossibleCrash() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inheritedPossibleCrash || l.possibleCrash || len(l.entries) > 0
}

// list returns a copy of the known losses.
func (l *losses) list() []call.EndpointLoss {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]call.EndpointLoss(nil), l.entries...)
}
