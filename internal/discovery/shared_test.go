package discovery

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/registry"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
)

func newBoard() (*Directory, *fleetview.Holder) {
	holder := &fleetview.Holder{}
	log := event.NewLog(io.Discard, "node", "vm", zerolog.ErrorLevel)
	return NewDirectory(holder, log, func() time.Duration { return 0 }, 7001), holder
}

func configurationOf(version uint64, service string) *Configuration {
	return &Configuration{
		Version: version,
		Catalogue: &catalogue.Catalogue{
			Classes: []catalogue.Class{{Name: "0"}},
			Routes: []catalogue.Route{{
				Name: "one", Class: "0", Host: "a.example", Path: "/x/", Idempotent: true, AttemptsMax: 2,
				Limits: catalogue.RouteLimits{TimeoutMs: 800},
				Split:  []catalogue.WeightedService{{Service: service, Weight: 3}, {Service: "other", Weight: 1}},
			}},
		},
		Bounds: fleetview.ClientLimits{HeaderBytes: 1 << 14, BodyBytes: 100, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

func entryOf(id, address string, leaving bool) registry.Entry {
	return registry.Entry{ID: id, Service: "s1", Address: address, AvailabilityZone: "z", Slots: 80, Leaving: leaving, StartedMs: 5, Sequence: 9}
}

func TestSharedStateIsWhole(t *testing.T) {
	from, fromView := newBoard()
	require.Nil(t, from.ExportState(), "nothing to share yet")
	from.ApplyConfiguration(configurationOf(7, "s1"))
	from.PutEndpoint(entryOf("e1", "10.0.0.1:80", false))
	from.PutEndpoint(entryOf("e2", "10.0.0.2:80", true))

	to, toView := newBoard()
	require.True(t, to.NeedsState())
	to.ImportState(from.ExportState())
	require.False(t, to.NeedsState())
	require.Equal(t, from.current, to.current)
	require.Equal(t, fromView.Load().ByVM, toView.Load().ByVM)
	require.True(t, toView.Load().ByVM["e2"].Leaving)
	require.NotNil(t, toView.Load().Index.RouteByHost("a.example", "/x/y"))
}

func TestSharedStateNeverGoesBefore(t *testing.T) {
	old, _ := newBoard()
	old.ApplyConfiguration(configurationOf(7, "s1"))
	old.PutEndpoint(entryOf("gone", "10.0.0.1:80", false))

	t.Run("what was read before", func(t *testing.T) {
		b, holder := newBoard()
		b.ApplyConfiguration(configurationOf(6, "s2"))
		b.ImportState(old.ExportState())
		require.EqualValues(t, 6, holder.Load().Revision, "its own reading is not older than the store's")
		require.Empty(t, holder.Load().ByVM)
	})
	t.Run("what is read later", func(t *testing.T) {
		b, holder := newBoard()
		b.ImportState(old.ExportState())
		b.ApplyConfiguration(configurationOf(6, "s2"))
		require.EqualValues(t, 7, holder.Load().Revision, "never back")
		b.ApplyConfiguration(configurationOf(8, "s2"))
		b.ReplaceEndpoints([]registry.Entry{entryOf("new", "10.0.0.3:80", false)})
		require.EqualValues(t, 8, holder.Load().Revision)
		require.Len(t, holder.Load().ByVM, 1)
		require.Contains(t, holder.Load().ByVM, "new")
	})
}

func FuzzAdopt(f *testing.F) {
	b, _ := newBoard()
	b.ApplyConfiguration(configurationOf(7, "s1"))
	b.PutEndpoint(entryOf("e1", "10.0.0.1:80", false))
	f.Add(b.ExportState())
	f.Add([]byte{})
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, state []byte) {
		b, holder := newBoard()
		b.ImportState(state)
		require.Equal(t, b.NeedsState(), holder.Load().Index == nil)
	})
}
