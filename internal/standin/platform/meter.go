package platform

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxCountedKeys bounds the keys that are counted one by one. Calls for further
// keys are counted under otherKeys.
const (
	maxCountedKeys = 1000
	otherKeys      = "(other)"
)

// KeyCounters counts the calls for one key.
type KeyCounters struct {
	// Key is the name of the key.
	Key string `json:"key"`
	// Reads counts the calls that were let in; a waiting watch counts once for
	// each second that it starts.
	Reads uint64 `json:"reads"`
	// Refused counts the calls over the limit.
	Refused uint64 `json:"refused"`
}

// Counters is what the platform counted since its start or the last reset.
type Counters struct {
	// Total counts the calls that were let in.
	Total uint64 `json:"total"`
	// Refused counts the calls over the limit.
	Refused uint64 `json:"refused"`
	// ReadsPerSecond is the number of calls, refused ones too, in the last full
	// second.
	ReadsPerSecond int `json:"readsPerSecond"`
	// PeakPerSecond is the largest number of calls, refused ones too, in one
	// second.
	PeakPerSecond int `json:"peakPerSecond"`
	// Watches is the number of watches that wait now.
	Watches int `json:"watches"`
	// Limit is the number of calls let in each second.
	Limit int `json:"limit"`
	// Keys holds the counters by key, in the order of the names.
	Keys []KeyCounters `json:"keys"`
}

// meter counts calls in seconds since its start and refuses those over a limit.
type meter struct {
	mu       sync.Mutex
	start    time.Time
	limit    int
	second   int64
	count    int // calls in second, refused ones too
	previous int // calls in the second before
	peak     int
	watches  int
	total    uint64
	refused  uint64
	keys     map[string]*KeyCounters
}

func newMeter(limit int, start time.Time) *meter {
	return &meter{limit: limit, start: start, keys: map[string]*KeyCounters{}}
}

// verdict is the outcome of counting one call.
type verdict struct {
	allowed bool
	// firstRefusal is set on the first refused call of a second.
	firstRefusal bool
}

// call counts one call.
func (m *meter) call(key string, now time.Time) verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.moveTo(now)
	m.count++
	m.peak = max(m.peak, m.count)
	counters := m.countersOf(key)
	if m.count > m.limit {
		m.refused++
		counters.Refused++
		return verdict{firstRefusal: m.count == m.limit+1}
	}
	m.total++
	counters.Reads++
	return verdict{allowed: true}
}

func (m *meter) moveTo(now time.Time) {
	second := int64(now.Sub(m.start) / time.Second)
	if second == m.second {
		return
	}
	m.previous = 0
	if second == m.second+1 {
		m.previous = m.count
	}
	m.second = second
	m.count = 0
}

func (m *meter) countersOf(key string) *KeyCounters {
	if c := m.keys[key]; c != nil {
		return c
	}
	if len(m.keys) >= maxCountedKeys {
		key = otherKeys
	}
	c := m.keys[key]
	if c == nil {
		c = &KeyCounters{Key: key}
		m.keys[key] = c
	}
	return c
}

// watching adds n to the number of waiting watches.
func (m *meter) watching(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watches += n
}

// reset forgets what was counted. The calls of the current second still use up
// the limit.
func (m *meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peak = 0
	m.total = 0
	m.refused = 0
	m.keys = map[string]*KeyCounters{}
}

func (m *meter) counters(now time.Time) Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.moveTo(now)
	c := Counters{
		Total:          m.total,
		Refused:        m.refused,
		ReadsPerSecond: m.previous,
		PeakPerSecond:  m.peak,
		Watches:        m.watches,
		Limit:          m.limit,
		Keys:           make([]KeyCounters, 0, len(m.keys)),
	}
	for _, k := range m.keys {
		c.Keys = append(c.Keys, *k)
	}
	slices.SortFunc(c.Keys, func(a, b KeyCounters) int { return cmp.Compare(a.Key, b.Key) })
	return c
}
