package calllink

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/memory"
	"github.com/galenacart/galenacart/internal/message"
)

// piecesTestTimeout is far longer than anything that these tests wait for.
const piecesTestTimeout = 10 * time.Second

// measuredPair is a pair of nodes with the budgets that their calls are charged to.
type measuredPair struct {
	*Link
	caller *memory.Budget
	callee *memory.Budget
}

// connectMeasured connects two nodes with budgets. An old callee does not take bodies in pieces.
func connectMeasured(t *testing.T, old bool, calleeBytes int, handler Handler) *measuredPair {
	t.Helper()
	c := &clock{}
	p := &measuredPair{caller: memory.NewBudget(testMemoryBytes), callee: memory.NewBudget(calleeBytes)}
	node := NewAcceptor(handler, noCallbacks.receive, noCallbacks.recordCrashes, c.now, p.callee)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if old {
			r.Header.Del("Sec-WebSocket-Protocol")
		}
		node.ServeHTTP(w, r)
	}))
	p.Link = New(strings.TrimPrefix(server.URL, "http://"), c.now, noCallbacks.exportState, noCallbacks.recordCrashes)
	t.Cleanup(func() {
		p.Close()
		node.Close()
		server.Close()
		p.requireFree(t)
	})
	return p
}

func (p *measuredPair) requireFree(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return p.caller.Used() == 0 && p.callee.Used() == 0 }, piecesTestTimeout, time.Millisecond,
		"the calling node holds %d bytes, the other %d", p.caller.Used(), p.callee.Used())
}

// send sends a call with a body and returns the reply, with the lease released.
func (p *measuredPair) send(ctx context.Context, body []byte, withdrawn <-chan struct{}) (*Reply, error) {
	call := newCall("/large")
	call.Body, call.Withdrawn = message.NewBody(body), withdrawn
	call.Memory = p.caller.NewCall()
	defer call.Memory.Release()
	return p.Do(ctx, call)
}

// sendBack answers with the body of the call.
func sendBack(_ context.Context, call *Call) *Reply {
	r := &Reply{}
	r.SetAnswer(&message.Response{Status: 200, Header: http.Header{}, Body: call.Body})
	return r
}

func TestLargeBodiesArriveUnchanged(t *testing.T) {
	for _, old := range []bool{false, true} {
		p := connectMeasured(t, old, testMemoryBytes, sendBack)
		for _, size := range []int{0, 1, inlineBodyBytes, inlineBodyBytes + 1, message.PieceBytes, message.PieceBytes + inlineBodyBytes + 1, 3<<20 + 7} {
			body := bytes.Repeat([]byte("0123456789a"), size/11+1)[:size]
			count := 4
			if old {
				count = 1 // the copies of whole frames are charged as well
			}
			results := make(chan string, count)
			for range cap(results) {
				go func() {
					reply, err := p.send(t.Context(), body, nil)
					if err != nil {
						results <- err.Error()
						return
					}
					results <- reply.Body.String()
				}()
			}
			for range cap(results) {
				require.True(t, string(body) == <-results, "%d bytes, to a node that takes no pieces: %t", size, old)
			}
			p.requireFree(t)
		}
	}
}

// TestSmallCallPassesALargeOne checks that a large body does not hold up other calls until it has
// been sent.
func TestSmallCallPassesALargeOne(t *testing.T) {
	s := &stream{writing: true, pieces: true, encoder: newDictEncoder(), beforeWrite: func(*frame) {}}
	large := &frame{Kind: kindCall, ID: 1, Call: &Call{Body: message.NewBody(make([]byte, 1<<20))}}
	small := &frame{Kind: kindCall, ID: 2, Call: &Call{}}
	require.NoError(t, s.send(large))
	require.NoError(t, s.send(small))
	var batch bytes.Buffer
	require.True(t, s.fillBatch(&batch))
	batch.Reset()
	require.True(t, s.fillBatch(&batch))
	require.Equal(t, []*frame{large}, s.queue, "the small call was sent after one piece")
}

func TestCallWithoutMemoryIsRefused(t *testing.T) {
	ran := false
	p := connectMeasured(t, false, 3<<20, func(ctx context.Context, call *Call) *Reply {
		ran = ran || call.Body.Len() > 1000
		return sendBack(ctx, call)
	})
	reply, err := p.send(t.Context(), make([]byte, 4<<20), nil)
	require.NoError(t, err)
	require.Equal(t, RefusedNoMemory, reply.Refused)
	p.requireFree(t)
	reply, err = p.send(t.Context(), []byte("small"), nil)
	require.NoError(t, err)
	require.Equal(t, "small", reply.Body.String())
	require.False(t, ran, "a refused call never runs")
}

// TestReplyWithoutMemoryIsLost checks that a reply that the calling node can't hold is reported as
// lost, since the endpoint has run the call.
func TestReplyWithoutMemoryIsLost(t *testing.T) {
	p := connectMeasured(t, false, testMemoryBytes, func(context.Context, *Call) *Reply {
		r := &Reply{}
		r.SetAnswer(&message.Response{Status: 200, Header: http.Header{}, Body: message.NewBody(make([]byte, 4<<20))})
		return r
	})
	var others []*memory.Lease
	for range 100 {
		lease := p.caller.NewCall()
		for lease.TryGrow(64 << 10) {
			continue
		}
		others = append(others, lease)
	}
	_, err := p.send(t.Context(), nil, nil)
	require.ErrorIs(t, err, ErrReplyLost)
	for _, lease := range others {
		lease.Release()
	}
	p.requireFree(t)
	_, err = p.send(t.Context(), nil, nil)
	require.NoError(t, err, "the link is still open")
}

// TestBodyThatIsNotWanted ends a call while its body is being sent.
func TestBodyThatIsNotWanted(t *testing.T) {
	tests := []struct {
		desc string
		want error
		end  func(cancel, withdraw func())
	}{
		{"cancelled", context.Canceled, func(cancel, _ func()) { cancel() }},
		{"withdrawn", ErrNotSent, func(_, withdraw func()) { withdraw() }},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			l := connect(t, &clock{}, func(_ context.Context, call *Call) *Reply {
				if call.Body.Len() > 0 {
					t.Error("the call arrived")
				}
				return &Reply{Status: 200}
			}, noCallbacks)
			_, err := l.Do(t.Context(), newCall("/first"))
			require.NoError(t, err)
			l.standstill.SetStalled(true)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			withdrawn := make(chan struct{})
			call := newCall("/large")
			call.Body, call.Withdrawn = message.NewBody(make([]byte, 16<<20)), withdrawn
			result := make(chan error, 1)
			go func() {
				_, err := l.Do(ctx, call)
				result <- err
			}()
			require.Eventually(t, func() bool { return l.queueBegun() }, piecesTestTimeout, time.Millisecond)
			test.end(cancel, func() { close(withdrawn) })
			require.Eventually(t, func() bool { return !l.queueBegun() }, piecesTestTimeout, time.Millisecond)
			l.standstill.SetStalled(false)
			require.ErrorIs(t, <-result, test.want)
			reply, err := l.Do(t.Context(), newCall("/next"))
			require.NoError(t, err)
			require.Equal(t, 200, reply.Status)
		})
	}
}

// queueBegun reports whether a call of which pieces were sent waits to be sent further.
func (p *pair) queueBegun() bool {
	p.mu.Lock()
	s := p.current
	p.mu.Unlock()
	if s == nil {
		return false
	}
	s.stream.mu.Lock()
	defer s.stream.mu.Unlock()
	for _, f := range s.stream.queue {
		if f.begun {
			return true
		}
	}
	return false
}

// TestClosedLinkReleasesWhatArrives closes the link while a body arrives.
func TestClosedLinkReleasesWhatArrives(t *testing.T) {
	b := memory.NewBudget(testMemoryBytes)
	a := &Acceptor{memory: b}
	l := &inboundLink{acceptor: a, calls: make(map[uint64]*inboundCall), arriving: make(map[uint64]*arrivingBody)}
	l.handleFrame(&frame{Kind: kindBody, ID: 1, State: make([]byte, 1000)})
	l.handleFrame(&frame{Kind: kindBody, ID: 2, State: make([]byte, 500)})
	require.Equal(t, 1500, b.Used())
	l.handleFrame(&frame{Kind: kindCancel, ID: 1})
	require.Equal(t, 500, b.Used())
	l.cancelCalls()
	require.Zero(t, b.Used())
}
