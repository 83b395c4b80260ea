package platform

import (
	"net/http"
	"sync"
	"time"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/strictjson"
)

// VMListKey is the key of the VM list, whose new values show late.
const VMListKey = "vms"

// Platform is the stand-in: a store, a meter and the handlers on top.
type Platform struct {
	store *Store
	meter *meter
	log   *event.Log

	mu        sync.Mutex
	lag       time.Duration
	accepted  uint64 // number of the newest VM list
	published uint64 // number of the VM list that shows
}

// New returns a platform without keys.
func New(s *Settings, log *event.Log) *Platform {
	return &Platform{
		store: NewStore(s.FirstRevision, s.History),
		meter: newMeter(s.ReadsPerSecond, time.Now()),
		log:   log,
		lag:   s.VMListLag(),
	}
}

// LoadKeys stores the initial keys. They show at once.
func (p *Platform) LoadKeys(keys []KeyFile) error {
	for _, k := range keys {
		value, err := strictjson.ReadFile(k.File, MaxValueBytes)
		if err != nil {
			return err
		}
		if err := p.put(k.Key, value); err != nil {
			return err
		}
	}
	return nil
}

// Put stores a value. A value of VMListKey shows after the lag.
func (p *Platform) Put(key string, value []byte) error {
	if len(value) > MaxValueBytes {
		return ErrValueTooLarge
	}
	if key != VMListKey {
		return p.put(key, value)
	}
	number, lag := p.acceptVMList()
	if lag == 0 {
		return p.publishVMList(number, value)
	}
	time.AfterFunc(lag, func() { _ = p.publishVMList(number, value) }) // its size was checked
	return nil
}

// acceptVMList numbers a new VM list and returns the time until it shows.
func (p *Platform) acceptVMList() (number uint64, lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accepted++
	return p.accepted, p.lag
}

// publishVMList shows a VM list, unless a later one shows already, as happens
// after the lag was made shorter.
func (p *Platform) publishVMList(number uint64, value []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if number < p.published {
		return nil
	}
	p.published = number
	return p.put(VMListKey, value)
}

func (p *Platform) put(key string, value []byte) error {
	revision, err := p.store.Put(key, value)
	if err != nil {
		return err
	}
	p.log.Emit(event.PlatformWritten, "",
		event.F("key", key), event.F("revision", revision), event.F("bytes", len(value)))
	return nil
}

// SetVMListLag changes the lag of the VM list for later writes.
func (p *Platform) SetVMListLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = lag
}

// SetMode changes how the platform behaves towards readers.
func (p *Platform) SetMode(c ModeChange) error {
	if err := p.store.SetMode(c); err != nil {
		return err
	}
	p.log.Emit(event.PlatformMode, "", event.F("mode", c.Mode), event.F("revisions", c.Revisions))
	return nil
}

// Counters returns what was counted since the start.
func (p *Platform) Counters() Counters {
	return p.meter.counters(time.Now())
}

// ResetCounters forgets what was counted, but for the current second.
func (p *Platform) ResetCounters() {
	p.meter.reset()
}

// Handler returns the key service.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys/{key}", p.serveKey)
	return mux
}

// count counts one call, and reports whether it is let in.
func (p *Platform) count(key string) bool {
	v := p.meter.call(key, time.Now())
	if v.firstRefusal {
		p.log.Emit(event.PlatformOverLimit, "", event.F("key", key))
	}
	return v.allowed
}
