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

// unreachableZone groups nodes that gave no answer.
const unreachableZone = "(no answer)"

// WriteFleet writes one table with a row for each node, grouped by availability
// zone.
func WriteFleet(w io.Writer, answers []Answer) error {
	out := newTable(w, "AVAILABILITY ZONE", "VM", "SERVICE", "REVISION", "STATE", "REFUSALS/MIN", "VERSION")
	for _, a := range sorted(answers) {
		if a.Err != nil {
			out.row(unreachableZone, a.Address, "-", "-", oneLine(a.Err.Error()), "-", "-")
			continue
		}
		n := &a.Summary
		out.row(n.AvailabilityZone, n.VM, n.Service, revision(n.Catalogue.Revision), stateOf(n), strconv.Itoa(n.Refusals), n.Version)
	}
	return out.flush()
}

// CountFailed counts the nodes that gave no answer.
func CountFailed(answers []Answer) int {
	failed := 0
	for _, a := range answers {
		if a.Err != nil {
			failed++
		}
	}
	return failed
}

// sorted returns the answers by availability zone and VM, those without an
// answer last.
func sorted(answers []Answer) []Answer {
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

func stateOf(n *status.Summary) string {
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

// maxReasonRunes bounds a reason in a table.
const maxReasonRunes = 300

// oneLine makes a text fit into one row of a table.
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

func newTable(w io.Writer, heads ...string) *table {
	t := &table{out: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row(heads...)
	return t
}

func (t *table) row(cells ...string) {
	_, _ = io.WriteString(t.out, strings.Join(cells, "\t")+"\n") // flush reports a failure
}

func (t *table) flush() error {
	return errors.Wrap(t.out.Flush(), "write table")
}
