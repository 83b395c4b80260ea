package control

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/wait"
)

// Control is the running control side of a node.
type Control struct {
	thread *thread
	cancel context.CancelFunc
}

// Start begins to read the platform and to link with peers. ctx bounds the life
// of the control side.
func Start(ctx context.Context, c Config) (*Control, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	t := newThread(ctx, c)
	t.registerMetrics()
	t.start()
	t.goDo(t.pumpTicks)
	t.goDo(t.pumpReports)
	t.post(tick{})
	return &Control{thread: t, cancel: cancel}, nil
}

// PeerHandler accepts the links of peers. It belongs at peer.Path on the peer
// address.
func (c *Control) PeerHandler() http.Handler {
	return http.HandlerFunc(c.thread.accept)
}

// Leave begins the planned stop: peers are told at once, and the view says so.
func (c *Control) Leave() {
	c.thread.post(leave{})
}

// Status returns what control knows.
func (c *Control) Status() Status {
	reply := make(chan Status, 1)
	c.thread.post(statusWanted{reply: reply})
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	select {
	case s := <-reply:
		return s
	case <-ctx.Done():
		return Status{VM: c.thread.Settings.VM, Incarnation: c.thread.Incarnation, Busy: true}
	}
}

// Catalogue returns the state of the catalogue. Unlike Status it costs the same
// in a large fleet. ok is false if the control thread is too busy to answer.
func (c *Control) Catalogue() (state DocumentStatus, ok bool) {
	reply := make(chan DocumentStatus, 1)
	c.thread.post(documentWanted{key: keyCatalogue, reply: reply})
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	select {
	case state = <-reply:
		return state, true
	case <-ctx.Done():
		return DocumentStatus{}, false
	}
}

// Stop tells the peers that the process ends, closes all links and waits for
// the goroutines until ctx ends.
func (c *Control) Stop(ctx context.Context) error {
	defer c.cancel()
	told := make(chan struct{})
	c.thread.post(stop{done: told})
	select {
	case <-told:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "tell peers of the stop")
	}
	c.cancel()
	ended := make(chan struct{})
	go func() {
		c.thread.group.Wait()
		_ = c.thread.system.Root.PoisonFuture(c.thread.pid).Wait()
		c.thread.system.Shutdown()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for control to stop")
	}
}

// pumpTicks posts the ticks. At most one waits, so that a busy thread is not
// handed a backlog.
func (t *thread) pumpTicks() {
	wait.Every(t.ctx, tickInterval, func() { t.post(tick{}) })
}

// pumpReports posts what traffic saw.
func (t *thread) pumpReports() {
	for {
		select {
		case r := <-t.Reports.Receive():
			t.post(reported{report: r})
		case <-t.ctx.Done():
			return
		}
	}
}
