package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/galenacart/galenacart/internal/event"
)

const fleetKey = "a key of the whole fleet"

// testAcceptor is a node that accepts links and reports their causes of end.
type testAcceptor struct {
	*httptest.Server
	clock    *event.Clock
	accepted chan *Link
	ended    chan error
}

func newTestAcceptor(t *testing.T) *testAcceptor {
	a := &testAcceptor{clock: &event.Clock{}, accepted: make(chan *Link, 100), ended: make(chan error, 100)}
	n := NewTransport(Identity{VM: "b", Incarnation: 2}, []byte(fleetKey), a.clock, nil)
	n.timeout = time.Minute // so that handshakes don't time out on a loaded machine
	a.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, err := n.Accept(w, r)
		if err != nil {
			a.ended <- err
			return
		}
		a.accepted <- l
		a.ended <- l.Run(context.Background(), func(*Message) { l.MessageHandled() })
	}))
	t.Cleanup(func() {
		a.Close()
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t)
	})
	return a
}

func (a *testAcceptor) address() string {
	return a.Listener.Addr().String()
}

func (a *testAcceptor) requireFault(t *testing.T, want Fault) {
	err := <-a.ended
	var fault *Violation
	require.ErrorAs(t, err, &fault)
	require.Equal(t, want, fault.Fault, err.Error())
}

func dialAs(t *testing.T, a *testAcceptor, key, to string) (*Link, error) {
	n := NewTransport(Identity{VM: "a", Incarnation: 1}, []byte(key), &event.Clock{}, http.DefaultClient)
	return n.Dial(t.Context(), to, a.address())
}

// dialWithoutHandshake opens a WebSocket connection without a handshake.
func dialWithoutHandshake(t *testing.T, a *testAcceptor) (*websocket.Conn, error) {
	conn, _, err := websocket.Dial(t.Context(), "ws://"+a.address()+Path, nil) //nolint:bodyclose // the library owns the body
	return conn, err
}

func TestHandshakeAuthenticatesBothSides(t *testing.T) {
	a := newTestAcceptor(t)
	l, err := dialAs(t, a, fleetKey, "b")
	require.NoError(t, err)
	require.Equal(t, Identity{VM: "b", Incarnation: 2}, l.Remote)
	require.Equal(t, Identity{VM: "a", Incarnation: 1}, (<-a.accepted).Remote)
	l.Send(&Message{Pull: &Pull{}})
	l.Close(nil)
	require.ErrorIs(t, l.Run(t.Context(), func(*Message) { l.MessageHandled() }), errClosed)
	require.Error(t, <-a.ended)
}

func TestHandshakeRejectsWrongKeyAndVM(t *testing.T) {
	cases := []struct {
		desc    string
		key, to string
		want    Fault
	}{
		{"another fleet key", "some other key of a fleet", "b", FaultAuthentication},
		{"another VM at the address", fleetKey, "c", FaultIdentity},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			a := newTestAcceptor(t)
			_, dialled := dialAs(t, a, c.key, c.to)
			require.Error(t, dialled)
			accepted := <-a.ended
			require.Error(t, accepted)
			require.Empty(t, a.accepted)
			var fault *Violation
			require.True(t, errors.As(dialled, &fault) || errors.As(accepted, &fault))
			require.Equal(t, c.want, fault.Fault)
		})
	}
}

// Guards against a reflection attack: a dialler without the fleet key that returns
// the acceptor's proof as its own.
func TestReflectedProofIsRejected(t *testing.T) {
	a := newTestAcceptor(t)
	n := NewTransport(Identity{VM: "a", Incarnation: 1}, []byte("unknown"), &event.Clock{}, nil)
	conn, err := dialWithoutHandshake(t, a)
	require.NoError(t, err)
	defer func() { _ = conn.CloseNow() }()
	mine, err := n.newHello("b")
	require.NoError(t, err)
	require.NoError(t, conn.Write(t.Context(), websocket.MessageBinary, mine))
	_, data, err := conn.Read(t.Context())
	require.NoError(t, err)
	w := &welcome{}
	require.NoError(t, decoder.Unmarshal(data, w))
	answer, err := cbor.Marshal(confirm{Proof: w.Proof})
	require.NoError(t, err)
	require.NoError(t, conn.Write(t.Context(), websocket.MessageBinary, answer))
	a.requireFault(t, FaultAuthentication)
}

func TestLinkClosesOnViolations(t *testing.T) {
	encoded := func(m *Message) []byte {
		data, err := Encode(m)
		require.NoError(t, err)
		return data
	}
	pull := encoded(&Message{Pull: &Pull{}})
	cases := []struct {
		desc string
		kind websocket.MessageType
		send func() []byte
		n    int
		want Fault
	}{
		{"garbage", websocket.MessageBinary, func() []byte { return []byte("garbage") }, 1, FaultMalformed},
		{"text", websocket.MessageText, func() []byte { return []byte("{}") }, 1, FaultMalformed},
		{"message that is too large", websocket.MessageBinary, func() []byte { return make([]byte, MaxMessageBytes+1) }, 1, FaultMalformed},
		{"rate exceeded", websocket.MessageBinary, func() []byte { return pull }, 100 * messagesBurst, FaultRateExceeded},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			a := newTestAcceptor(t)
			l, err := dialAs(t, a, fleetKey, "b")
			require.NoError(t, err)
			defer func() { _ = l.conn.CloseNow() }()
			go func() {
				for range c.n {
					if l.conn.Write(t.Context(), c.kind, c.send()) != nil {
						return
					}
				}
			}()
			a.requireFault(t, c.want)
		})
	}
}

// Guards against a Send that blocks on a peer that does not receive: the link is
// closed when its queue is full.
func TestSendToAStalledPeerNeverBlocks(t *testing.T) {
	l := newLink(nil, Identity{}, true, &event.Clock{}, &Counters{})
	for range sendQueueMax + 10 {
		l.Send(&Message{Pull: &Pull{}})
	}
	<-l.closed
	var fault *Violation
	require.True(t, errors.As(l.cause, &fault))
	require.Equal(t, FaultStalled, fault.Fault)
}

func TestPendingHandshakesAreBounded(t *testing.T) {
	a := newTestAcceptor(t)
	var conns []*websocket.Conn
	refused := 0
	for range maxHandshakes + 5 {
		conn, err := dialWithoutHandshake(t, a)
		if err != nil {
			require.True(t, strings.Contains(err.Error(), "503"), err.Error())
			refused++
			continue
		}
		conns = append(conns, conn)
	}
	require.Len(t, conns, maxHandshakes)
	require.Equal(t, 5, refused)
	for _, conn := range conns {
		_ = conn.CloseNow()
	}
	for range maxHandshakes + 5 {
		require.Error(t, <-a.ended)
	}
}

func TestRateRefillsOverTime(t *testing.T) {
	r := newRateLimiter(time.Unix(0, 0))
	require.True(t, r.allow(time.Unix(0, 0), bytesBurst))
	require.False(t, r.allow(time.Unix(0, 0), 1))
	require.False(t, r.allow(time.Unix(1, 0), bytesPerSecond+1))
	require.True(t, r.allow(time.Unix(3, 0), bytesPerSecond))
}
