package traffic

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// link sends requests to one address and knows whether a failed one ever left.
type link struct {
	transport *http.Transport
	// silence is the time without progress after which a connection counts as
	// lost. 0 means that the other side sends no signs of progress.
	silence time.Duration
}

// sending follows one request on its way.
type sending struct {
	conn    atomic.Pointer[countingConn]
	before  atomic.Int64
	pending atomic.Bool
	touched atomic.Int64 // last sign of progress, in nanoseconds since start
	start   time.Time
}

// unsentError says that no byte of the call left the node.
type unsentError struct {
	cause error
}

// Error returns the cause.
func (e *unsentError) Error() string {
	return "not sent: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *unsentError) Unwrap() error {
	return e.cause
}

// send sends a request and waits for the head of its answer. The error is an
// *unsentError if and only if no byte of the request can have left the node.
// cancel ends the request when its connection goes silent.
func (l *link) send(ctx context.Context, r *http.Request, cancel context.CancelCauseFunc) (*http.Response, error) {
	s := &sending{start: time.Now()}
	s.pending.Store(true)
	watched := l.watch(s, cancel)
	response, err := l.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, s.trace())))
	s.pending.Store(false)
	if watched != nil {
		watched.Stop()
	}
	if err == nil {
		return response, nil
	}
	if errors.Is(context.Cause(ctx), errSilent) {
		l.transport.CloseIdleConnections()
	}
	if s.unsent(ctx) {
		return nil, &unsentError{cause: err}
	}
	return nil, errors.Wrap(err, "send call")
}

// unsent reports whether the request provably never left. After a cancelled
// request the client may still be writing, so only a missing connection counts.
func (s *sending) unsent(ctx context.Context) bool {
	conn := s.conn.Load()
	if conn == nil {
		return true
	}
	return ctx.Err() == nil && conn.written.Load() == s.before.Load()
}

func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			s.touch()
			if conn, ok := info.Conn.(*countingConn); ok {
				s.before.Store(conn.written.Load())
				s.conn.Store(conn)
			}
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			s.touch()
			return nil
		},
	}
}

func (s *sending) touch() {
	s.touched.Store(int64(time.Since(s.start)))
}

// watch cancels the request when its connection shows no progress for too long.
func (l *link) watch(s *sending, cancel context.CancelCauseFunc) *time.Timer {
	if l.silence == 0 {
		return nil
	}
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(l.silence, func() {
		<-ready
		if !s.pending.Load() {
			return
		}
		idle := time.Since(s.start) - time.Duration(s.touched.Load())
		if idle >= l.silence {
			cancel(errSilent)
			return
		}
		timer.Reset(l.silence - idle)
	})
	close(ready)
	return timer
}
