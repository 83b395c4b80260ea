package platform

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxCountedKeys limits the number of keys with their own counters. Calls for
// other keys are counted under otherKeys.
const (
	maxCountedKeys = 1000
	otherKeys      = "(other)"
)

// KeyCounters holds the counters of one key.
type KeyCounters struct {
	// Key is the name of the key.
	Key string `json:"key"`
	// Reads is the number of admitted calls. A waiting watch counts once for each
	// second that it begins.
	Reads uint64 `json:"reads"`
	// Refused is the number of calls over the limit.
	Refused uint64 `json:"refused"`
}

// Counters holds the counters since the start of the platform or the last reset.
type Counters struct {
	// Total is the number of admitted calls.
	Total uint64 `json:"total"`
	// Refused is the number of calls over the limit.
	Refused uint64 `json:"refused"`
	// ReadsPerSecond is the number of calls in the last full second, including
	// refused ones.
	ReadsPerSecond int `json:"readsPerSecond"`
	// PeakPerSecond is the highest number of calls in one second, including refused
	// ones.
	PeakPerSecond int `json:"peakPerSecond"`
	// Watches is the number of waiting watches.
	Watches int `json:"watches"`
	// Limit is the number of calls admitted per second.
	Limit int `json:"limit"`
	// Keys holds the counters of each key, ordered by name.
	Keys []KeyCounters `json:"keys"`
}

// limiter counts calls in windows of one second since its start and refuses calls
// over the limit of a window.
type limiter struct {
	mu       sync.Mutex
	start    time.Time
	limit    int
	second   int64 // current window, in seconds since start
	count    int   // calls in the current window, including refused ones
	previous int   // calls in the previous window
	peak     int
	watches  int
	total    uint64
	refused  uint64
	keys     map[string]*KeyCounters
}

func newLimiter(limit int, start time.Time) *limiter {
	return &limiter{limit: limit, start: start, keys: map[string]*KeyCounters{}}
}

// decision is the outcome of a call.
type decision struct {
	allowed bool
	// firstRefusal is set for the first refused call of a window.
	firstRefusal bool
}

// call counts a call and decides whether to admit it.
func (l *limiter) call(key string, now time.Time) decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.count++
	l.peak = max(l.peak, l.count)
	counters := l.keyCounters(key)
	if l.count > l.limit {
		l.refused++
		counters.Refused++
		return decision{firstRefusal: l.count == l.limit+1}
	}
	l.total++
	counters.Reads++
	return decision{allowed: true}
}

// advance starts a new window if now is after the current one.
func (l *limiter) advance(now time.Time) {
	second := int64(now.Sub(l.start) / time.Second)
	if second == l.second {
		return
	}
	l.previous = 0
	if second == l.second+1 {
		l.previous = l.count
	}
	l.second = second
	l.count = 0
}

// keyCounters returns the counters of a key, or those of otherKeys.
func (l *limiter) keyCounters(key string) *KeyCounters {
	if c := l.keys[key]; c != nil {
		return c
	}
	if len(l.keys) >= maxCountedKeys {
		key = otherKeys
	}
	c := l.keys[key]
	if c == nil {
		c = &KeyCounters{Key: key}
		l.keys[key] = c
	}
	return c
}

// addWatches adds n to the number of waiting watches.
func (l *limiter) addWatches(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watches += n
}

// reset resets the counters. The calls of the current window still count towards
// the limit.
func (l *limiter) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peak = 0
	l.total = 0
	l.refused = 0
	l.keys = map[string]*KeyCounters{}
}

func (l *limiter) counters(now time.Time) Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	c := Counters{
		Total:          l.total,
		Refused:        l.refused,
		ReadsPerSecond: l.previous,
		PeakPerSecond:  l.peak,
		Watches:        l.watches,
		Limit:          l.limit,
		Keys:           make([]KeyCounters, 0, len(l.keys)),
	}
	for _, k := range l.keys {
		c.Keys = append(c.Keys, *k)
	}
	slices.SortFunc(c.Keys, func(a, b KeyCounters) int { return cmp.Compare(a.Key, b.Key) })
	return c
}
