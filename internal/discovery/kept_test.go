package discovery

import (
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/registry"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
)

const (
	testHeartbeat = 1500 * time.Millisecond
	testGrace     = 2 * time.Second // for entries to return after an outage
	testSilence   = 4 * testHeartbeat
)

// keptPlay is a reader that was cut off from the store while the entry of a booking endpoint was removed. It has listed
// again and keeps the endpoint, as it can't tell this from an outage of the store.
type keptPlay struct {
	t      *testing.T
	now    time.Duration
	reader *Directory
}

func newKeptPlay(t *testing.T) *keptPlay {
	p := &keptPlay{t: t, now: time.Second}
	p.reader, _ = p.directory()
	p.read(p.reader, 10, frontEntry, bookingEntry)
	p.reader.ApplyConfiguration(configurationOf(1, "front", "booking"))
	return p
}

// directory returns an empty directory with the time of the play.
func (p *keptPlay) directory() (*Directory, *fleetview.Holder) {
	views := &fleetview.Holder{}
	d := NewDirectory(views, event.NewLog(io.Discard, "node", "test", zerolog.InfoLevel), func() time.Duration { return p.now }, 7001)
	d.SetEndpointHeartbeat(testHeartbeat)
	return d, views
}

// read applies a list of the store.
func (p *keptPlay) read(d *Directory, revision uint64, entries ...registry.Entry) {
	d.SourceRecovered()
	d.ReplaceEndpoints(entries)
	d.AdvanceRevision(revision, d.Now())
}

// cutReader has the reader miss the removal of the booking endpoint, and list again.
func (p *keptPlay) cutReader() {
	p.reader.SourceFailed(errors.New("no route to the store"))
	p.now += testSilence
	p.read(p.reader, 20, frontEntry)
	require.Contains(p.t, p.reader.endpoints.Stored(), registry.StoredEntry{Entry: bookingEntry, Kept: true})
}

// pass lets time pass at directories.
func (p *keptPlay) pass(after time.Duration, directories ...*Directory) {
	p.now += after
	for _, d := range directories {
		d.expire()
	}
}

// TestReaderThatWasCutOffBringsNoRemovedEndpointBack guards against a node that uses an endpoint again whose removal it has
// seen, since another node that was cut off alone keeps it for some time and hands it on as present.
func TestReaderThatWasCutOffBringsNoRemovedEndpointBack(t *testing.T) {
	p := newKeptPlay(t)
	d, views := p.directory()
	subscribe(t, p.reader, d)
	p.cutReader()
	d.RemoveEndpoint("booking-1") // as another reader reports
	require.Equal(t, []string{"front"}, servedServices(views.Load()))
	subscribe(t, p.reader, d)
	require.Equal(t, []string{"front"}, servedServices(views.Load()))
	p.pass(testGrace, p.reader, d)
	require.Equal(t, []string{"front"}, servedServices(views.Load()))
}

// TestNodeOfAnEarlierVersionBringsNoRemovedEndpointBack guards against the same by a node that doesn't say what it keeps.
func TestNodeOfAnEarlierVersionBringsNoRemovedEndpointBack(t *testing.T) {
	p := newKeptPlay(t)
	d, views := p.directory()
	subscribe(t, p.reader, d)
	p.cutReader()
	d.RemoveEndpoint("booking-1")
	snapshot, s := p.reader.Subscribe()
	defer p.reader.Unsubscribe(s)
	snapshot.Kept, snapshot.NamesKept = nil, false
	require.True(t, d.ApplyUpdate(roundTrip(t, snapshot)))
	require.Equal(t, []string{"front"}, servedServices(views.Load()))
}

// TestKeptEndpointIsRemovedWhereTheReaderNoLongerReports guards against a node that uses an endpoint for good which its reader only
// kept: it reads the store itself from the reader's position on, after the removal.
func TestKeptEndpointIsRemovedWhereTheReaderNoLongerReports(t *testing.T) {
	both := []string{"booking", "front"}
	learn := map[string]func(p *keptPlay, d *Directory){
		"it subscribed before": func(p *keptPlay, d *Directory) {
			s := subscribe(p.t, p.reader, d)
			p.cutReader()
			applyPending(p.t, s, d)
		},
		"it subscribes then":        func(p *keptPlay, d *Directory) { p.cutReader(); subscribe(p.t, p.reader, d) },
		"it starts, and knows none": func(p *keptPlay, d *Directory) { p.cutReader(); d.ImportState(p.reader.ExportState()) },
	}
	for desc, learnFrom := range learn {
		t.Run(desc, func(t *testing.T) {
			p := newKeptPlay(t)
			d, views := p.directory()
			learnFrom(p, d)
			require.Equal(t, both, servedServices(views.Load()), "the entry may return")
			p.pass(testGrace, d)
			require.Equal(t, []string{"front"}, servedServices(views.Load()))
		})
	}
}

// TestKeptEndpointThatReturnsIsUsed checks the other case: the store was away, and the entry returns.
func TestKeptEndpointThatReturnsIsUsed(t *testing.T) {
	p := newKeptPlay(t)
	d, views := p.directory()
	s := subscribe(t, p.reader, d)
	p.cutReader()
	applyPending(t, s, d)
	p.now += testGrace / 2
	p.reader.PutEndpoint(bookingEntry)
	applyPending(t, s, d)
	p.pass(testGrace, p.reader, d)
	require.Equal(t, []string{"booking", "front"}, servedServices(views.Load()))
}
