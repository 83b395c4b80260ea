package timeline

import (
	_ "embed" // for the page's template
	"html/template"
	"io"

	"github.com/pkg/errors"
)

//go:embed page.html.tmpl
var pageText string

// page is the template of the page, which loads no other resources.
var page = template.Must(template.New("page").Parse(pageText))

// laneWidth is the width of one process in the page, in pixels.
const laneWidth = 18

// pageData is the data of the template.
type pageData struct {
	Lanes  []lane
	Rows   []row
	Width  int
	Left   int // events over MaxEvents, which the page omits
	Filter string
}

type lane struct {
	Name   string
	Number int
	X      int
}

type row struct {
	Clock       uint64
	Time        string
	X           int
	Lane        lane
	Number      int
	Name        string
	Level       string
	Correlation string
	Details     string
}

// HTMLOptions sets the limit and the initial filter of the page.
type HTMLOptions struct {
	// MaxEvents bounds the events on the page; the newest are kept. 0 keeps all.
	MaxEvents int
	// Correlation is the request that the page filters by initially, or empty for all.
	Correlation string
}

// WriteHTML writes the events as one self-contained page: a lane for each process, a
// row for each event, and a filter by request, process and text.
func WriteHTML(w io.Writer, events []Event, o HTMLOptions) error {
	data := pageData{Filter: o.Correlation}
	if o.MaxEvents > 0 && len(events) > o.MaxEvents {
		data.Left = len(events) - o.MaxEvents
		events = events[data.Left:]
	}
	byName := make(map[string]lane)
	for i, name := range ProcessNames(events) {
		l := lane{Name: name, Number: i + 1, X: i*laneWidth + laneWidth/2}
		byName[name] = l
		data.Lanes = append(data.Lanes, l)
	}
	data.Width = max(len(data.Lanes), 1) * laneWidth
	for i := range events {
		data.Rows = append(data.Rows, newRow(&events[i], byName))
	}
	return errors.Wrap(page.Execute(w, data), "write page")
}

func newRow(e *Event, lanes map[string]lane) row {
	l := lanes[e.ProcessName()]
	return row{
		Clock:       e.Clock,
		Time:        e.Time.UTC().Format(timeLayout),
		X:           l.X,
		Lane:        l,
		Number:      int(e.Number),
		Name:        e.Name,
		Level:       e.Level,
		Correlation: e.Correlation,
		Details:     e.Details(),
	}
}
