package traffic

import (
	"net/http"
	"sync"
	"time"
)

// progressShare is the part of the silence bound after which a node shows that
// it still works on a call.
const progressShare = 4

// progress sends interim answers while a call is worked on, so that the other
// node can tell a slow call from a silent connection.
type progress struct {
	mu    sync.Mutex
	w     http.ResponseWriter
	timer *time.Timer
	every time.Duration
	over  bool
}

// startProgress begins to send interim answers on w. Nothing else may be
// written to w before stop.
func startProgress(w http.ResponseWriter, silence time.Duration) *progress {
	p := &progress{w: w, every: silence / progressShare}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(p.every, p.show)
	return p
}

// show writes under the lock, because stop must not return while it writes: the
// final answer follows on the same writer.
func (p *progress) show() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return
	}
	p.w.WriteHeader(http.StatusProcessing)
	p.timer.Reset(p.every)
}

// stop ends the interim answers. The final answer may be written after it.
func (p *progress) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	p.timer.Stop()
}
