package traffic

import (
	"sync"

	"github.com/galenacart/galenacart/internal/call"
)

// lossesMax bounds the requests that a call's description tells of.
const lossesMax = 8

// losses are the endpoints lost to the calls of one request, as far as its
// nodes know. They travel with its calls and answers, because its next attempt
// may be faster than the news over peer links.
type losses struct {
	inherited bool // an attempt further up may have broken an endpoint

	mu    sync.Mutex
	doubt bool // an attempt from here on down may have broken an endpoint
	known []call.EndpointLoss
}

func newLosses(known []call.EndpointLoss, inherited bool) *losses {
	l := &losses{inherited: inherited}
	for _, one := range known {
		l.add(one)
	}
	return l
}

// add takes in the endpoints lost to one call.
func (l *losses) add(one call.EndpointLoss) {
	if one.Count == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.known {
		if l.known[i].Fingerprint == one.Fingerprint {
			l.known[i].Count = max(l.known[i].Count, one.Count)
			return
		}
	}
	if len(l.known) < lossesMax {
		l.known = append(l.known, one)
	}
}

// suspectAttempt notes that an attempt may have broken an endpoint.
func (l *losses) suspectAttempt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubt = true
}

// doubtHere reports whether an attempt from here on down may have broken an
// endpoint that nobody can tell of.
func (l *losses) doubtHere() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.doubt
}

// inDoubt reports whether any attempt of the root request may have broken an
// endpoint, as far as is known here.
func (l *losses) inDoubt() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inherited || l.doubt || len(l.known) > 0
}

// list returns what is known.
func (l *losses) list() []call.EndpointLoss {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]call.EndpointLoss(nil), l.known...)
}
