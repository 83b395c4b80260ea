package discovery

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/registry"
)

// TestServiceIsServedAgainAfterItsReturn guards against endpoints that nodes hold for gone for good
// since a version of the configuration left out their service.
func TestServiceIsServedAgainAfterItsReturn(t *testing.T) {
	without, again := configurationOf(2, "front"), configurationOf(3, "front", "booking")
	all := []registry.Entry{frontEntry, bookingEntry}
	tests := []struct {
		desc string
		play func(t *testing.T, d *Directory)
	}{
		{"a reader", func(_ *testing.T, d *Directory) {
			d.ApplyConfiguration(configurationOf(1, "front", "booking"))
			d.ReplaceEndpoints(all)
			d.ApplyConfiguration(without)
			d.ApplyConfiguration(again)
		}},
		{"a subscriber", func(t *testing.T, d *Directory) {
			reader, _ := newReader()
			s := subscribe(t, reader, d)
			reader.ApplyConfiguration(without)
			applyPending(t, s, d)
			reader.ApplyConfiguration(again)
			applyPending(t, s, d)
		}},
		{"a subscriber that reads for itself in between", func(t *testing.T, d *Directory) {
			reader, _ := newReader()
			s := subscribe(t, reader, d)
			reader.ApplyConfiguration(without)
			applyPending(t, s, d)
			d.ReplaceEndpoints(all)
			d.ApplyConfiguration(again)
		}},
		{"a subscriber that reads for itself after the return", func(t *testing.T, d *Directory) {
			reader, _ := newReader()
			s := subscribe(t, reader, d)
			reader.ApplyConfiguration(without)
			applyPending(t, s, d)
			d.ApplyConfiguration(again)
			d.ReplaceEndpoints(all)
		}},
		{"a subscriber that changes its reader in between", func(t *testing.T, d *Directory) {
			reader, _ := newReader()
			s := subscribe(t, reader, d)
			reader.ApplyConfiguration(without)
			applyPending(t, s, d)
			other, _ := newReader()
			other.ApplyConfiguration(without)
			s = subscribe(t, other, d)
			other.ApplyConfiguration(again)
			applyPending(t, s, d)
		}},
		{"a node that joins in between", func(t *testing.T, d *Directory) {
			reader, _ := newReader()
			reader.ApplyConfiguration(without)
			s := subscribe(t, reader, d)
			reader.ApplyConfiguration(again)
			applyPending(t, s, d)
		}},
		{"a node that joins in between and reads the return itself", func(t *testing.T, d *Directory) {
			reader, _ := newReader()
			reader.ApplyConfiguration(without)
			subscribe(t, reader, d)
			d.ApplyConfiguration(again)
		}},
		{"a node that starts while the store is away", func(_ *testing.T, d *Directory) {
			reader, _ := newReader()
			reader.ApplyConfiguration(without)
			d.ImportState(reader.ExportState())
			d.ApplyConfiguration(again)
		}},
		{"a subscriber of a subscriber", func(t *testing.T, d *Directory) {
			reader, _ := newReader()
			between, _ := newTestDirectory()
			s := subscribe(t, reader, between)
			reader.ApplyConfiguration(without)
			applyPending(t, s, between)
			other := subscribe(t, between, d)
			reader.ApplyConfiguration(again)
			applyPending(t, s, between)
			applyPending(t, other, d)
		}},
		{"the store is restored from an earlier copy in between", func(t *testing.T, d *Directory) {
			reader, _ := newReader()
			s := subscribe(t, reader, d)
			reader.ApplyConfiguration(without)
			applyPending(t, s, d)
			reader.ObserveEra(2)
			reader.ReplaceEndpoints(all)
			reader.AdvanceRevision(5, 0)
			reader.ApplyConfiguration(again)
			applyPending(t, s, d)
		}},
		{"entries that arrive before the version that names their service", func(t *testing.T, d *Directory) {
			reader, _ := newTestDirectory()
			reader.ApplyConfiguration(without)
			s := subscribe(t, reader, d)
			reader.ReplaceEndpoints(all)
			applyPending(t, s, d)
			d.ApplyConfiguration(again)
		}},
		{"a reader of an earlier version", func(t *testing.T, d *Directory) {
			reader, _ := newReader()
			subscribe(t, reader, d)
			// Such a reader counts endpoints of services that the configuration doesn't name as removed.
			require.True(t, d.ApplyUpdate(roundTrip(t, &Update{At: position(1, 0), Configuration: without})))
			require.True(t, d.ApplyUpdate(roundTrip(t, &Update{At: position(1, 0), Removed: []string{"booking-1"}})))
			require.True(t, d.ApplyUpdate(roundTrip(t, &Update{At: position(1, 0), Configuration: again})))
			require.True(t, d.ApplyUpdate(roundTrip(t, &Update{At: position(1, 0), Endpoints: []registry.Entry{bookingEntry}})))
		}},
		{"a snapshot of a node of an earlier version that was told so", func(t *testing.T, d *Directory) {
			require.True(t, d.ApplyUpdate(roundTrip(t, &Update{
				At: position(1, 10), Configuration: without, Whole: true, Endpoints: []registry.Entry{frontEntry}, Gone: []registry.Entry{bookingEntry},
			})))
			d.ApplyConfiguration(again)
			d.ReplaceEndpoints(all)
		}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			d, views := newTestDirectory()
			test.play(t, d)
			require.EqualValues(t, 3, views.Load().Revision)
			require.Equal(t, []string{"booking", "front"}, servedServices(views.Load()))
		})
	}
}

// TestServiceThatIsLeftOutIsNotServed checks that each node applies its own configuration.
func TestServiceThatIsLeftOutIsNotServed(t *testing.T) {
	reader, readerViews := newReader()
	d, views := newTestDirectory()
	s := subscribe(t, reader, d)
	reader.ApplyConfiguration(configurationOf(2, "front"))
	applyPending(t, s, d)
	require.Equal(t, []string{"front"}, servedServices(readerViews.Load()))
	require.Equal(t, []string{"front"}, servedServices(views.Load()))
	reader.RemoveEndpoint("booking-1")
	applyPending(t, s, d)
	reader.ApplyConfiguration(configurationOf(3, "front", "booking"))
	applyPending(t, s, d)
	require.Equal(t, []string{"front"}, servedServices(views.Load()), "removed while its service was left out")
}

// TestEndpointIsServedAgainAfterAnotherLeftItsAddress guards against an endpoint that subscribers hold
// for gone since another entry with its address hid it.
func TestEndpointIsServedAgainAfterAnotherLeftItsAddress(t *testing.T) {
	reader, readerViews := newReader()
	d, views := newTestDirectory()
	s := subscribe(t, reader, d)
	foreign := entryOf("foreign", "booking", bookingEntry.Address)
	foreign.StartedMs++
	reader.PutEndpoint(foreign)
	applyPending(t, s, d)
	require.NotNil(t, views.Load().ByVM["foreign"])
	require.Nil(t, views.Load().ByVM["booking-1"])
	reader.RemoveEndpoint("foreign")
	applyPending(t, s, d)
	require.NotNil(t, readerViews.Load().ByVM["booking-1"])
	require.Equal(t, readerViews.Load().ByVM, views.Load().ByVM)
}

// TestSubscribersAgreeWithTheirReaderOnSharedAddresses guards against an entry that is no endpoint's
// own and hides the endpoint at subscribers after the reader has found it out.
func TestSubscribersAgreeWithTheirReaderOnSharedAddresses(t *testing.T) {
	reader, readerViews := newReader()
	d, views := newTestDirectory()
	s := subscribe(t, reader, d)
	foreign := entryOf("foreign", "booking", bookingEntry.Address)
	foreign.StartedMs++
	reader.PutEndpoint(foreign)
	own := bookingEntry
	for range 2 {
		own.Sequence++
		reader.PutEndpoint(own)
		applyPending(t, s, d)
		require.Equal(t, readerViews.Load().ByVM, views.Load().ByVM)
	}
	later, laterViews := newTestDirectory()
	subscribe(t, reader, later)
	require.Equal(t, readerViews.Load().ByVM, laterViews.Load().ByVM)
	require.NotNil(t, laterViews.Load().ByVM["booking-1"])
}
