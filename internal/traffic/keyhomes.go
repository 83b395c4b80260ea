package traffic

import (
	"slices"
	"sync"
	"time"
)

// keyHomes tracks the catalogue's list of homes of callers' keys. After a change
// this node may be the home of keys whose requests ran on another node.
type keyHomes struct {
	mu        sync.Mutex
	list      []string
	changedAt time.Duration // process time of the last change, or 0 if there was none
}

// update sets the list of the catalogue in force.
func (k *keyHomes) update(now time.Duration, list []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.list != nil && !slices.Equal(k.list, list) {
		k.changedAt = now
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
	return now - k.changedAt
}
