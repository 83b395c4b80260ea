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

func newTestDirectory() (*Directory, *fleetview.Holder) {
	holder := &fleetview.Holder{}
	log := event.NewLog(io.Discard, "node", "vm", zerolog.ErrorLevel)
	return NewDirectory(holder, log, func() time.Duration { return 0 }, 7001), holder
}

func newConfiguration(version uint64, service string) *Configuration {
	return &Configuration{
		Version:  version,
		Services: []string{"s1"}, // with endpoints, also while no route leads there
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

func newEntry(id, address string, leaving bool) registry.Entry {
	return registry.Entry{ID: id, Service: "s1", Address: address, AvailabilityZone: "z", Slots: 80, Leaving: leaving, StartedMs: 5, Sequence: 9}
}

func TestImportedStateIsComplete(t *testing.T) {
	from, fromView := newTestDirectory()
	require.Nil(t, from.ExportState(), "no configuration yet")
	from.ApplyConfiguration(newConfiguration(7, "s1"))
	from.PutEndpoint(newEntry("e1", "10.0.0.1:80", false))
	from.PutEndpoint(newEntry("e2", "10.0.0.2:80", true))

	to, toView := newTestDirectory()
	require.True(t, to.NeedsState())
	to.ImportState(from.ExportState())
	require.False(t, to.NeedsState())
	require.Equal(t, from.configuration, to.configuration)
	require.Equal(t, fromView.Load().ByVM, toView.Load().ByVM)
	require.True(t, toView.Load().ByVM["e2"].Leaving)
	require.NotNil(t, toView.Load().Index.RouteByHost("a.example", "/x/y"))
}

func TestImportedStateNeverReplacesNewerState(t *testing.T) {
	old, _ := newTestDirectory()
	old.ApplyConfiguration(newConfiguration(7, "s1"))
	old.PutEndpoint(newEntry("gone", "10.0.0.1:80", false))

	t.Run("state read before", func(t *testing.T) {
		d, holder := newTestDirectory()
		d.ApplyConfiguration(newConfiguration(6, "s2"))
		d.ImportState(old.ExportState())
		require.EqualValues(t, 6, holder.Load().Revision, "the state that the node has read itself is kept")
		require.Empty(t, holder.Load().ByVM)
	})
	t.Run("state read later", func(t *testing.T) {
		d, holder := newTestDirectory()
		d.ImportState(old.ExportState())
		d.ApplyConfiguration(newConfiguration(6, "s2"))
		require.EqualValues(t, 7, holder.Load().Revision, "an older configuration is ignored")
		d.ApplyConfiguration(newConfiguration(8, "s2"))
		d.ReplaceEndpoints([]registry.Entry{newEntry("new", "10.0.0.3:80", false)})
		require.EqualValues(t, 8, holder.Load().Revision)
		require.Len(t, holder.Load().ByVM, 1)
		require.Contains(t, holder.Load().ByVM, "new")
	})
}

func FuzzAdopt(f *testing.F) {
	d, _ := newTestDirectory()
	d.ApplyConfiguration(newConfiguration(7, "s1"))
	d.PutEndpoint(newEntry("e1", "10.0.0.1:80", false))
	f.Add(d.ExportState())
	f.Add([]byte{})
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, state []byte) {
		d, holder := newTestDirectory()
		d.ImportState(state)
		require.Equal(t, d.NeedsState(), holder.Load().Index == nil)
	})
}
