package inspect

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/status"
)

// noAnswerZone is the group of nodes whose query failed.
const noAnswerZone = "(no answer)"

// WriteFleet writes a table with one row for each node, ordered by availability
// zone.
func WriteFleet(w io.Writer, answers []Answer) error {
	out := newTable(w, "AVAILABILITY ZONE", "VM", "SERVICE", "REVISION", "STATE", "REFUSALS/MIN", "VERSION")
	for _, a := range sortByZone(answers) {
		if a.Err != nil {
			out.row(noAnswerZone, a.Address, "-", "-", oneLine(a.Err.Error()), "-", "-")
			continue
		}
		n := &a.Summary
		out.row(n.AvailabilityZone, n.VM, n.Service, revision(n.Catalogue.Revision), nodeState(n), strconv.Itoa(n.Refusals), n.Version)
	}
	return out.flush()
}

// CountFailed counts the failed queries.
func CountFailed(answers []Answer) int {
	failed := 0
	for _, a := range answers {
		if a.Err != nil {
			failed++
		}
	}
	return failed
}

// sortByZone returns the answers ordered by availability zone and VM, failed queries
// last.
func sortByZone(answers []Answer) []Answer {
	list := slices.Clone(answers)
	slices.SortStableFunc(list, func(a, b Answer) int {
		if a.Err != nil || b.Err != nil {
			return cmp.Or(cmp.Compare(boolToInt(a.Err != nil), boolToInt(b.Err != nil)), cmp.Compare(a.Address, b.Address))
		}
		return cmp.Or(cmp.Compare(a.Summary.AvailabilityZone, b.Summary.AvailabilityZone), cmp.Compare(a.Summary.VM, b.Summary.VM))
	})
	return list
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func nodeState(n *status.Summary) string {
	switch {
	case n.Leaving:
		return "leaving"
	case n.Catalogue.Revision == 0:
		return withReason("no catalogue", n.Catalogue.Reason)
	case n.Catalogue.Refused > n.Catalogue.Revision:
		return withReason(fmt.Sprintf("refused revision %d", n.Catalogue.Refused), n.Catalogue.Reason)
	default:
		return "serving"
	}
}

func withReason(state, reason string) string {
	if reason == "" {
		return state
	}
	return state + ": " + oneLine(reason)
}

// maxReasonRunes bounds the length of a reason in a table.
const maxReasonRunes = 300

// oneLine replaces line breaks by spaces and truncates long texts, for a table cell.
func oneLine(text string) string {
	runes := []rune(strings.Join(strings.Fields(text), " "))
	if len(runes) <= maxReasonRunes {
		return string(runes)
	}
	return string(runes[:maxReasonRunes]) + "…"
}

func revision(n uint64) string {
	if n == 0 {
		return "-"
	}
	return strconv.FormatUint(n, 10)
}

// table writes aligned columns.
type table struct {
	out *tabwriter.Writer
}

func newTable(w io.Writer, headers ...string) *table {
	t := &table{out: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row(headers...)
	return t
}

func (t *table) row(cells ...string) {
	_, _ = io.WriteString(t.out, strings.Join(cells, "\t")+"\n") // flush reports a failure
}

func (t *table) flush() error {
	return errors.Wrap(t.out.Flush(), "write table")
}
