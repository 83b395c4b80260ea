package traffic

import (
	"slices"
	"sync"
	"time"
)

// keyHomes follows the catalogue's list of homes of callers' own keys. After a
// change this node may be the home of keys that another node ran.
type keyHomes struct {
	mu    sync.Mutex
	list  []string
	since time.Duration // process time of the last change; 0 is the start
}

// follow takes in the list of the catalogue in force.
func (k *keyHomes) follow(now time.Duration, list []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.list != nil && !slices.Equal(k.list, list) {
		k.since = now
	}
	k.list = slices.Clone(list)
	if k.list == nil {
		k.list = []string{}
	}
}

// age returns the time for which this node has been the home of its keys: since
// its start, or since the list changed.
func (k *keyHomes) age(now time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now - k.since
}
