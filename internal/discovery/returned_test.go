package discovery

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/registry"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/fleetview"
)

// configurationOf names the services of a version, each with a route.
func configurationOf(version uint64, services ...string) *Configuration {
	c := &Configuration{Version: version, Services: services, Catalogue: &catalogue.Catalogue{Classes: []catalogue.Class{{Name: "0"}}}}
	for _, service := range services {
		c.Catalogue.Routes = append(c.Catalogue.Routes, catalogue.Route{
			Name: service, Class: "0", Host: "a.example", Path: "/" + service + "/", Service: service, AttemptsMax: 2,
			Limits: catalogue.RouteLimits{TimeoutMs: 800},
		})
	}
	return c
}

// entryOf returns an entry of a service whose later writes keep its sequence.
func entryOf(id, service, address string) registry.Entry {
	e := newEntry(id, address, false)
	e.Service = service
	return e
}

var (
	frontEntry   = entryOf("front-1", "front", "10.0.0.1:80")
	bookingEntry = entryOf("booking-1", "booking", "10.0.0.2:80")
)

func servedServices(v *fleetview.View) []string {
	var services []string
	for _, service := range []string{"booking", "front"} {
		if len(v.ByService[service]) > 0 {
			services = append(services, service)
		}
	}
	return services
}

// newReader returns a directory that reads a store with two services, both of which a
// configuration names.
func newReader() (*Directory, *fleetview.Holder) {
	reader, views := newTestDirectory()
	reader.ObserveEra(1)
	reader.ApplyConfiguration(configurationOf(1, "front", "booking"))
	reader.ReplaceEndpoints([]registry.Entry{frontEntry, bookingEntry})
	reader.AdvanceRevision(10, 0)
	return reader, views
}

// subscribe applies a reader's snapshot to a directory.
func subscribe(t *testing.T, reader, to *Directory) *Subscriber {
	t.Helper()
	snapshot, s := reader.Subscribe()
	t.Cleanup(func() { reader.Unsubscribe(s) })
	require.True(t, to.ApplyUpdate(roundTrip(t, snapshot)))
	return s
}

// TestEndpointIsServedAgainAfterItsEntryReturnsUnchanged guards against an endpoint that is held for
// gone for good since its entry was missing for a time: it was deleted and written again, expired,
// or was unreadable.
func TestEndpointIsServedAgainAfterItsEntryReturnsUnchanged(t *testing.T) {
	both := []string{"booking", "front"}
	t.Run("at a reader, by an event", func(t *testing.T) {
		reader, views := newReader()
		reader.RemoveEndpoint("booking-1")
		reader.PutEndpoint(bookingEntry)
		require.Equal(t, both, servedServices(views.Load()))
	})
	t.Run("at a reader, by lists", func(t *testing.T) {
		reader, views := newReader()
		reader.ReplaceEndpoints([]registry.Entry{frontEntry})
		reader.ReplaceEndpoints([]registry.Entry{frontEntry, bookingEntry})
		require.Equal(t, both, servedServices(views.Load()))
	})
	t.Run("at a subscriber", func(t *testing.T) {
		reader, _ := newReader()
		d, views := newTestDirectory()
		s := subscribe(t, reader, d)
		reader.RemoveEndpoint("booking-1")
		applyPending(t, s, d)
		require.Equal(t, []string{"front"}, servedServices(views.Load()))
		reader.PutEndpoint(bookingEntry)
		applyPending(t, s, d)
		require.Equal(t, both, servedServices(views.Load()))
	})
	t.Run("at a node that joins in between", func(t *testing.T) {
		reader, _ := newReader()
		reader.RemoveEndpoint("booking-1")
		d, views := newTestDirectory()
		s := subscribe(t, reader, d)
		reader.PutEndpoint(bookingEntry)
		applyPending(t, s, d)
		require.Equal(t, both, servedServices(views.Load()))
	})
}

// TestRemovalBeforeARestoreIsKnownToNodesThatJoinLater checks that a node that learns of a removal
// rejects the entry that an earlier copy of the store contains.
func TestRemovalBeforeARestoreIsKnownToNodesThatJoinLater(t *testing.T) {
	reader, _ := newReader()
	reader.RemoveEndpoint("booking-1")
	reader.ObserveEra(2)
	learn := map[string]func(d *Directory){
		"from a reader":             func(d *Directory) { subscribe(t, reader, d) },
		"from the state of another": func(d *Directory) { d.ImportState(reader.ExportState()) },
	}
	for desc, learnFrom := range learn {
		t.Run(desc, func(t *testing.T) {
			d, views := newTestDirectory()
			learnFrom(d)
			d.ObserveEra(2)
			d.ReplaceEndpoints([]registry.Entry{frontEntry, bookingEntry})
			require.Equal(t, []string{"front"}, servedServices(views.Load()))
		})
	}
}
