package platform

import (
	"context"
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

	mu  sync.Mutex
	lag time.Duration
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

// Load stores the initial keys. They show at once.
func (p *Platform) Load(keys []KeyFile) error {
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
	lag := p.lagOf(key)
	if lag == 0 {
		return p.put(key, value)
	}
	time.AfterFunc(lag, func() { _ = p.put(key, value) }) // its size was checked
	return nil
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

func (p *Platform) lagOf(key string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if key == VMListKey {
		return p.lag
	}
	return 0
}

// SetLag changes the lag of the VM list for later writes.
func (p *Platform) SetLag(lag time.Duration) {
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

// wait waits for a change of the view, until the next second of a watch must be
// counted, or until its end, and reports which came.
func wait(ctx context.Context, changed <-chan struct{}, left, countIn time.Duration) waitEnd {
	timer := time.NewTimer(min(left, countIn))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return waitGone
	case <-changed:
		return waitChanged
	case <-timer.C:
		if left <= countIn {
			return waitOver
		}
		return waitCount
	}
}

// waitEnd says why a watch stopped waiting.
type waitEnd int

const (
	waitGone waitEnd = iota
	waitChanged
	waitOver
	waitCount
)
