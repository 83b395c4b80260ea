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

// sender sends requests to one address and detects whether a failed request can
// have left the node.
type sender struct {
	transport *http.Transport
	// silenceTimeout is the time without progress after which a connection counts
	// as lost. 0 disables it, for a peer that sends no interim responses.
	silenceTimeout time.Duration
}

// exchange tracks the progress of one request.
type exchange struct {
	conn          atomic.Pointer[countingConn]
	writtenBefore atomic.Int64
	pending       atomic.Bool
	lastProgress  atomic.Int64 // time of the last progress, in nanoseconds since start
	start         time.Time
}

// unsentError means that no byte of the call left the node.
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

// send sends a request and waits for the header of its answer. The error is an
// *unsentError if and only if no byte of the request can have left the node.
// cancel is called when the connection makes no progress for too long.
func (s *sender) send(ctx context.Context, r *http.Request, cancel context.CancelCauseFunc) (*http.Response, error) {
	e := &exchange{start: time.Now()}
	e.pending.Store(true)
	progressTimer := s.watchProgress(e, cancel)
	response, err := s.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, e.trace())))
	e.pending.Store(false)
	if progressTimer != nil {
		progressTimer.Stop()
	}
	if err == nil {
		return response, nil
	}
	if errors.Is(context.Cause(ctx), errConnectionSilent) {
		s.transport.CloseIdleConnections()
	}
	if e.unsent(ctx) {
		return nil, &unsentError{cause: err}
	}
	return nil, errors.Wrap(err, "send call")
}

// unsent reports whether certainly no byte of the request was sent. After a
// cancellation the transport may still be writing, so only a missing connection
// proves it.
func (e *exchange) unsent(ctx context.Context) bool {
	conn := e.conn.Load()
	if conn == nil {
		return true
	}
	return ctx.Err() == nil && conn.written.Load() == e.writtenBefore.Load()
}

func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			e.recordProgress()
			if conn, ok := info.Conn.(*countingConn); ok {
				e.writtenBefore.Store(conn.written.Load())
				e.conn.Store(conn)
			}
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			e.recordProgress()
			return nil
		},
	}
}

func (e *exchange) recordProgress() {
	e.lastProgress.Store(int64(time.Since(e.start)))
}

// watchProgress cancels the request when its connection makes no progress for
// the duration of silence.
func (s *sender) watchProgress(e *exchange, cancel context.CancelCauseFunc) *time.Timer {
	if s.silenceTimeout == 0 {
		return nil
	}
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(s.silenceTimeout, func() {
		<-ready
		if !e.pending.Load() {
			return
		}
		idle := time.Since(e.start) - time.Duration(e.lastProgress.Load())
		if idle >= s.silenceTimeout {
			cancel(errConnectionSilent)
			return
		}
		timer.Reset(s.silenceTimeout - idle)
	})
	close(ready)
	return timer
}
