package truth

import (
	"cmp"
	"slices"
)

// VMCount is the number of records of one VM.
type VMCount struct {
	// VM is the name of the VM.
	VM string
	// Count is the number of records.
	Count int
}

// CountAfter counts, for each VM, the records of one kind after a point in time
// that startTime returns for the VM, as wall clock in nanoseconds since 1970. VMs
// without a start time or without such records are omitted.
func CountAfter(records []Record, kind Kind, startTime func(vm string) (int64, bool)) []VMCount {
	counts := map[string]int{}
	for i := range records {
		r := &records[i]
		if r.Kind != kind {
			continue
		}
		if start, ok := startTime(r.VM); ok && r.WallNs > start {
			counts[r.VM]++
		}
	}
	list := make([]VMCount, 0, len(counts))
	for vm, count := range counts {
		list = append(list, VMCount{VM: vm, Count: count})
	}
	slices.SortFunc(list, func(a, b VMCount) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

// DrainStart returns the wall clock at which the endpoint of a VM last began to
// drain, in nanoseconds since 1970, and false if it never did.
func DrainStart(records []Record, vm string) (int64, bool) {
	start, found := int64(0), false
	for i := range records {
		if records[i].Kind == Draining && records[i].VM == vm {
			start, found = records[i].WallNs, true
		}
	}
	return start, found
}

// runID identifies a run of a call in one process.
type runID struct {
	vm          string
	incarnation int64
	key         RunKey
	attempt     string
	call        string
}

func newRunID(r *Record) runID {
	return runID{
		vm:          r.VM,
		incarnation: r.Incarnation,
		key:         RunKey{Request: r.Request, Method: r.Method, Path: r.Path, Position: r.Position},
		attempt:     r.Attempt,
		call:        r.Call,
	}
}

// Unfinished returns the start records of calls without an end record: calls that
// were running when their process was killed or that are still running. A call
// that crashed its process has an end record.
func Unfinished(records []Record) []Record {
	open := map[runID][]int{} // indices of start records without an end record
	for i := range records {
		run := newRunID(&records[i])
		switch starts := open[run]; {
		case records[i].Kind == Started:
			open[run] = append(starts, i)
		case records[i].ended() && len(starts) > 0:
			open[run] = starts[1:]
		}
	}
	var indices []int
	for _, starts := range open {
		indices = append(indices, starts...)
	}
	slices.Sort(indices)
	unfinished := make([]Record, 0, len(indices))
	for _, i := range indices {
		unfinished = append(unfinished, records[i])
	}
	return unfinished
}
