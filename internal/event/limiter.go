package event

import (
	"sync"
	"time"
)

// limiter bounds the lines of one kind of event in each second. The zero value
// allows all.
type limiter struct {
	perSecond uint64

	mu         sync.Mutex
	second     int64 // Unix time of the current window
	written    uint64
	suppressed uint64
}

// allow reports whether a line may be written now, and how many were suppressed
// since the last one.
func (l *limiter) allow(now time.Time) (allowed bool, suppressed uint64) {
	if l.perSecond == 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second = second
		l.written = 0
	}
	if l.written >= l.perSecond {
		l.suppressed++
		return false, 0
	}
	l.written++
	suppressed = l.suppressed
	l.suppressed = 0
	return true, suppressed
}

// takeSuppressed returns the number of lines suppressed since the last one written and resets
// it. The caller reports it in a line of its own.
func (l *limiter) takeSuppressed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	suppressed := l.suppressed
	l.suppressed = 0
	return suppressed
}
