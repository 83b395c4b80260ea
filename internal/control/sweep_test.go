package control

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/view"
)

// plannedFleet is the number of VMs that the product is planned for.
const plannedFleet = 5900

// newSweeper returns the membership controller of a node that has not been
// started, in a large fleet.
func newSweeper(tb testing.TB) *membershipController {
	now := time.Duration(0)
	t := newThread(context.Background(), Config{
		Settings:    &settings.Node{VM: "absent-0", PlatformAddresses: []string{platformAddress}, FleetKey: fleetKey},
		Incarnation: 1,
		Log:         event.NewLog(io.Discard, "node", "absent-0", zerolog.ErrorLevel),
		Holder:      &view.Holder{},
		Reports:     view.NewReports(),
		Registry:    metrics.NewRegistry(),
		Now:         func() time.Duration { return now },
	})
	o := decodeOffer(keyVMs, 1, listOf(manyVMs(plannedFleet)), sourcePlatform)
	require.NoError(tb, o.fault)
	t.adoption.adopt(o)
	t.membership.run()
	require.Len(tb, t.board.members.Get().byVM, plannedFleet)
	return t.membership
}

func TestSweepWithoutNewsAllocatesNothing(t *testing.T) {
	m := newSweeper(t)
	before := m.board.members.Version()
	require.Zero(t, testing.AllocsPerRun(10, m.sweep))
	require.Equal(t, before, m.board.members.Version())
}

func BenchmarkSweepOfThePlannedFleet(b *testing.B) {
	m := newSweeper(b)
	b.ReportAllocs()
	for b.Loop() {
		m.sweep()
	}
}
