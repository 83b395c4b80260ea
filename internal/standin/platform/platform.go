package platform

import (
	"net/http"
	"sync"
	"time"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/strictjson"
)

// VMListKey is the key of the VM list, whose new values are published after a lag.
const VMListKey = "vms"

// Platform is the stand-in for the key service. It consists of a store, a rate
// limiter and the HTTP handlers.
type Platform struct {
	store   *Store
	limiter *limiter
	log     *event.Log

	mu        sync.Mutex
	lag       time.Duration
	accepted  uint64 // sequence number of the newest VM list
	published uint64 // sequence number of the published VM list
}

// New returns a platform without keys.
func New(s *Settings, log *event.Log) *Platform {
	return &Platform{
		store:   NewStore(s.FirstRevision, s.History),
		limiter: newLimiter(s.ReadsPerSecond, time.Now()),
		log:     log,
		lag:     s.VMListLag(),
	}
}

// LoadKeys stores the initial keys and publishes them immediately.
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

// Put stores a value. A value of VMListKey is published after the lag.
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
	time.AfterFunc(lag, func() { _ = p.publishVMList(number, value) }) // the size is already checked
	return nil
}

// acceptVMList assigns a sequence number to a new VM list and returns the time
// until its publication.
func (p *Platform) acceptVMList() (number uint64, lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accepted++
	return p.accepted, p.lag
}

// publishVMList publishes a VM list unless a later one is already published, which
// happens after a reduction of the lag.
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

// SetVMListLag sets the lag of the VM list for later writes.
func (p *Platform) SetVMListLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = lag
}

// SetMode changes the mode, which determines how the platform responds to readers.
func (p *Platform) SetMode(c ModeChange) error {
	if err := p.store.SetMode(c); err != nil {
		return err
	}
	p.log.Emit(event.PlatformMode, "", event.F("mode", c.Mode), event.F("revisions", c.Revisions))
	return nil
}

// Counters returns the counters since the start or the last reset.
func (p *Platform) Counters() Counters {
	return p.limiter.counters(time.Now())
}

// ResetCounters resets the counters. The calls of the current second still count
// towards the limit.
func (p *Platform) ResetCounters() {
	p.limiter.reset()
}

// Handler returns the HTTP handler of the key service.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys/{key}", p.serveKey)
	return mux
}

// admit counts a call and reports whether it is within the limit.
func (p *Platform) admit(key string) bool {
	d := p.limiter.call(key, time.Now())
	if d.firstRefusal {
		p.log.Emit(event.PlatformOverLimit, "", event.F("key", key))
	}
	return d.allowed
}
