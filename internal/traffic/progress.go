package traffic

import (
	"net/http"
	"sync"
	"time"
)

// progressDivisor is the number of interim responses per silence timeout.
const progressDivisor = 4

// progress sends interim responses while a call is in progress, so that the other
// node can distinguish a slow call from a dead connection.
type progress struct {
	mu       sync.Mutex
	w        http.ResponseWriter
	timer    *time.Timer
	interval time.Duration
	stopped  bool
}

// startProgress begins to send interim responses on w. Nothing else may be written
// to w before stop.
func startProgress(w http.ResponseWriter, silenceTimeout time.Duration) *progress {
	p := &progress{w: w, interval: silenceTimeout / progressDivisor}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(p.interval, p.sendInterim)
	return p
}

// sendInterim sends an interim response. It holds the lock while writing, because
// stop must not return before: the final answer is written to the same writer.
func (p *progress) sendInterim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	p.w.WriteHeader(http.StatusProcessing)
	p.timer.Reset(p.interval)
}

// stop ends the interim responses. The final answer may be written afterwards.
func (p *progress) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
}
