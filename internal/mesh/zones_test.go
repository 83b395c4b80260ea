package mesh

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/view"
)

// silence is a network that passes nothing on while it is cut.
type silence struct {
	net.Listener
	cut *atomic.Bool
}

func (s silence) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	return silentConn{c, s.cut}, err
}

type silentConn struct {
	net.Conn
	cut *atomic.Bool
}

func (c silentConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for err == nil && c.cut.Load() {
		time.Sleep(time.Millisecond)
	}
	return n, err
}

// serveZone starts nodes of zone b, which answer every call until they are cut off.
func serveZone(t *testing.T, count int, now func() time.Duration) ([]*view.Member, *atomic.Bool) {
	t.Helper()
	cut := &atomic.Bool{}
	var members []*view.Member
	for range count {
		answer := func(context.Context, *calllink.Call) *calllink.Reply { return &calllink.Reply{Status: http.StatusOK} }
		acceptor := calllink.NewAcceptor(answer, func([]byte) {}, now)
		server := httptest.NewUnstartedServer(acceptor)
		server.Listener = silence{server.Listener, cut}
		server.Start()
		t.Cleanup(func() {
			cut.Store(false)
			acceptor.Close()
			server.Close()
		})
		address := netip.MustParseAddrPort(server.Listener.Addr().String()).String()
		members = append(members, &view.Member{VM: address, Endpoint: address, PeerAddress: address, AvailabilityZone: "b"})
	}
	return members, cut
}

// A link that carries no call is doubted too once others show that its zone is cut
// off, and trusted again when the zone is back.
func TestLinksOfAZoneThatIsCutOffAreDoubted(t *testing.T) {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	members, cut := serveZone(t, 3, now)
	targets := newTargets(Config{State: knownState{}, Now: now, Settings: &settings.Mesh{VM: "door-1", AvailabilityZone: "a"}})
	defer targets.close()
	for _, m := range members {
		_, err := targets.link(m).Do(t.Context(), &calllink.Call{RemainingMs: 1000})
		require.NoError(t, err)
	}
	doubted := func(m *view.Member) func() bool {
		return func() bool {
			targets.watch()
			targets.mu.Lock()
			defer targets.mu.Unlock()
			return targets.doubtful(m)
		}
	}
	idle := members[2]
	require.False(t, doubted(idle)())

	cut.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, m := range members[:2] {
		go func() { _, _ = targets.link(m).Do(ctx, &calllink.Call{RemainingMs: 1000}) }() // lost in the cut
	}
	require.Eventually(t, doubted(idle), 10*time.Second, 5*time.Millisecond)
	cut.Store(false)
	require.Eventually(t, func() bool { return !doubted(idle)() }, 10*time.Second, 5*time.Millisecond)
}
