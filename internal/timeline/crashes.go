package timeline

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/event"
)

// Suspect is a request content that endpoints were running when they crashed.
type Suspect struct {
	// Fingerprint is the hash of the content.
	Fingerprint string
	// Route names the route.
	Route string
	// Crashes is the number of crashes during which it ran.
	Crashes int
	// Requests is the number of requests with the content that ran during them.
	Requests int
	// Refused is the number of times that a node refused to run it.
	Refused int
	// First and Last are the times of its first and last crash, relative to the first event.
	First, Last time.Duration
	// Example is the ID of its last request.
	Example string
}

// FindSuspects returns the contents that ran during crashes of endpoints, those with
// the most crashes first.
func FindSuspects(events []Event) []Suspect {
	byContent := make(map[string]*Suspect)
	crashes := make(map[string]map[string]bool)
	requests := make(map[string]map[string]bool)
	for i := range events {
		e := &events[i]
		if e.Number != event.EndpointCrashed && e.Number != event.SuspectRefused {
			continue
		}
		content := e.field("fingerprint")
		s := byContent[content]
		if s == nil {
			s = &Suspect{Fingerprint: content}
			byContent[content], crashes[content], requests[content] = s, make(map[string]bool), make(map[string]bool)
		}
		if e.Number == event.SuspectRefused {
			s.Refused++
			continue
		}
		at := e.Time.Sub(events[0].Time)
		if len(requests[content]) == 0 {
			s.First = at
		}
		crashes[content][e.field("crash")] = true
		requests[content][e.Correlation] = true
		s.Route, s.Last, s.Example = e.field("route"), at, e.Correlation
		s.Crashes, s.Requests = len(crashes[content]), len(requests[content])
	}
	return sortByCrashes(byContent)
}

func sortByCrashes(byContent map[string]*Suspect) []Suspect {
	list := make([]Suspect, 0, len(byContent))
	for _, s := range byContent {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list
}

// WriteSuspects prints suspects as a table of at most maxRows rows.
func WriteSuspects(out io.Writer, suspects []Suspect, maxRows int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "crashes\trequests\theld back\tfirst\tlast\troute\tfingerprint\texample") // Flush reports a failure
	for _, s := range suspects[:min(maxRows, len(suspects))] {
		_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%v\t%v\t%s\t%s\t%s\n", s.Crashes, s.Requests, s.Refused,
			s.First.Round(time.Millisecond), s.Last.Round(time.Millisecond), s.Route, s.Fingerprint, s.Example)
	}
	if others := len(suspects) - maxRows; others > 0 {
		_, _ = fmt.Fprintf(w, "%d other contents\t\t\t\t\t\t\t\n", others)
	}
	return errors.Wrap(w.Flush(), "write")
}
