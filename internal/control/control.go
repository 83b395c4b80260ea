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

// Start starts the control side, which reads the platform and links with peers
// until ctx ends.
func Start(ctx context.Context, c Config) (*Control, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	t := newThread(ctx, c)
	t.registerMetrics()
	t.start()
	t.goTracked(t.postTicks)
	t.goTracked(t.postReports)
	t.post(tick{})
	return &Control{thread: t, cancel: cancel}, nil
}

// PeerHandler returns the handler that accepts the links of peers. It is to be
// registered at peer.Path on the peer address.
func (c *Control) PeerHandler() http.Handler {
	return http.HandlerFunc(c.thread.accept)
}

// Leave begins the planned stop: it announces to peers, and publishes in the
// view, that the node is leaving.
func (c *Control) Leave() {
	c.thread.post(leave{})
}

// Status returns the state of the control side.
func (c *Control) Status() Status {
	reply := make(chan Status, 1)
	c.thread.post(statusRequest{reply: reply})
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
	c.thread.post(documentRequest{key: keyCatalogue, reply: reply})
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	select {
	case state = <-reply:
		return state, true
	case <-ctx.Done():
		return DocumentStatus{}, false
	}
}

// Stop announces the end of the process to the peers, closes all links and waits
// for the goroutines until ctx ends.
func (c *Control) Stop(ctx context.Context) error {
	defer c.cancel()
	announced := make(chan struct{})
	c.thread.post(stop{done: announced})
	select {
	case <-announced:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "announce the stop to peers")
	}
	c.cancel()
	finished := make(chan struct{})
	go func() {
		c.thread.group.Wait()
		_ = c.thread.system.Root.PoisonFuture(c.thread.pid).Wait()
		c.thread.system.Shutdown()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for control to stop")
	}
}

// postTicks posts a tick every tickInterval.
func (t *thread) postTicks() {
	wait.Every(t.ctx, tickInterval, func() { t.post(tick{}) })
}

// postReports posts the reports of traffic.
func (t *thread) postReports() {
	for {
		select {
		case r := <-t.Reports.Receive():
			t.post(trafficReport{report: r})
		case <-t.ctx.Done():
			return
		}
	}
}
