package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/quarantine"
	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/testnet"
)

// serveZone starts nodes of zone b, which answer every call. The function cuts them
// off or ends that.
func serveZone(t *testing.T, count int, now func() time.Duration) ([]*fleetview.Member, func(bool)) {
	t.Helper()
	var members []*fleetview.Member
	var listeners []*testnet.StallingListener
	cut := func(is bool) {
		for _, l := range listeners {
			l.SetStalled(is)
		}
	}
	for range count {
		answer := func(context.Context, *calllink.Call) *calllink.Reply { return &calllink.Reply{Status: http.StatusOK} }
		acceptor := calllink.NewAcceptor(answer, func([]byte) {}, func([]quarantine.Loss) {}, now)
		server := httptest.NewUnstartedServer(acceptor)
		listener := testnet.NewStallingListener(server.Listener)
		listeners = append(listeners, listener)
		server.Listener = listener
		server.Start()
		t.Cleanup(func() {
			listener.SetStalled(false)
			acceptor.Close()
			server.Close()
		})
		address := netip.MustParseAddrPort(server.Listener.Addr().String()).String()
		members = append(members, &fleetview.Member{VM: address, EndpointInstance: address, PeerAddress: address, AvailabilityZone: "b"})
	}
	return members, cut
}

// A link that carries no call is doubted too once others show that its zone is cut
// off, and trusted again when the zone is back.
func TestLinksOfAZoneThatIsCutOffAreDoubted(t *testing.T) {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	members, cut := serveZone(t, 3, now)
	targets := newTargets(Config{SharedState: knownState{}, Now: now, Settings: &settings.Mesh{VM: "door-1", AvailabilityZone: "a"}}, nil)
	defer targets.close()
	for _, m := range members {
		_, err := targets.link(m).Do(t.Context(), &calllink.Call{RemainingMs: 1000})
		require.NoError(t, err)
	}
	doubted := func(m *fleetview.Member) func() bool {
		return func() bool {
			targets.watch()
			targets.mu.Lock()
			defer targets.mu.Unlock()
			return targets.doubtful(m)
		}
	}
	idle := members[2]
	require.False(t, doubted(idle)())

	cut(true)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, m := range members[:2] {
		go func() { _, _ = targets.link(m).Do(ctx, &calllink.Call{RemainingMs: 1000}) }() // lost in the cut
	}
	require.Eventually(t, doubted(idle), 10*time.Second, 5*time.Millisecond)
	cut(false)
	require.Eventually(t, func() bool { return !doubted(idle)() }, 10*time.Second, 5*time.Millisecond)
}
