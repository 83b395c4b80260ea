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
	"github.com/galenacart/galenacart/internal/memory"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/testnet"
)

// startZone starts nodes of zone b that answer every call. The returned function starts or
// ends a partition of these nodes.
func startZone(t *testing.T, count int, now func() time.Duration) ([]*fleetview.Member, func(bool)) {
	t.Helper()
	var members []*fleetview.Member
	var listeners []*testnet.StallingListener
	setPartitioned := func(partitioned bool) {
		for _, l := range listeners {
			l.SetStalled(partitioned)
		}
	}
	for range count {
		answer := func(context.Context, *calllink.Call) *calllink.Reply { return &calllink.Reply{Status: http.StatusOK} }
		acceptor := calllink.NewAcceptor(answer, func([]byte) {}, func([]quarantine.Loss) {}, now, memory.NewBudget(1<<30))
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
	return members, setPartitioned
}

// TestLinksToUnreachableZoneAreUnresponsive checks that an idle link counts as unresponsive when
// other links show that its zone is unreachable, and recovers with the zone.
func TestLinksToUnreachableZoneAreUnresponsive(t *testing.T) {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	members, setPartitioned := startZone(t, 3, now)
	targets := newTargets(Config{SharedState: noSharedState{}, Now: now, Settings: &settings.Mesh{VM: "door-1", AvailabilityZone: "a"}}, nil)
	defer targets.close()
	for _, m := range members {
		_, err := targets.link(m).Do(t.Context(), &calllink.Call{RemainingMs: 1000})
		require.NoError(t, err)
	}
	checkUnresponsive := func(m *fleetview.Member) func() bool {
		return func() bool {
			targets.checkLinks()
			targets.mu.Lock()
			defer targets.mu.Unlock()
			return targets.isUnresponsive(m)
		}
	}
	idle := members[2]
	require.False(t, checkUnresponsive(idle)())

	setPartitioned(true)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, m := range members[:2] {
		go func() { _, _ = targets.link(m).Do(ctx, &calllink.Call{RemainingMs: 1000}) }() // lost in the partition
	}
	require.Eventually(t, checkUnresponsive(idle), 10*time.Second, 5*time.Millisecond)
	setPartitioned(false)
	require.Eventually(t, func() bool { return !checkUnresponsive(idle)() }, 10*time.Second, 5*time.Millisecond)
}
