package truth

import (
	"cmp"
	"slices"
)

// VMCount is a number of calls at one VM.
type VMCount struct {
	// VM is the VM.
	VM string
	// Count is the number of calls.
	Count int
}

// CountAfter returns, for each VM, the records of one kind later than the
// moment that moments gives for the VM, as wall clock in nanoseconds since
// 1970. VMs without a moment, and VMs without such records, are left out.
func CountAfter(records []Record, kind Kind, moments func(vm string) (int64, bool)) []VMCount {
	counts := map[string]int{}
	for i := range records {
		r := &records[i]
		if r.Kind != kind {
			continue
		}
		if moment, ok := moments(r.VM); ok && r.WallNs > moment {
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

// DrainStart returns the wall clock at which a VM's endpoint last began to
// leave, in nanoseconds since 1970, and false when it did not.
func DrainStart(records []Record, vm string) (int64, bool) {
	moment, found := int64(0), false
	for i := range records {
		if records[i].Kind == Draining && records[i].VM == vm {
			moment, found = records[i].WallNs, true
		}
	}
	return moment, found
}

// runOf names one run of a call in one process.
type runOf struct {
	vm          string
	incarnation int64
	key         RunKey
	attempt     string
	call        string
}

func newRunOf(r *Record) runOf {
	return runOf{
		vm:          r.VM,
		incarnation: r.Incarnation,
		key:         RunKey{Request: r.Request, Method: r.Method, Path: r.Path, Position: r.Position},
		attempt:     r.Attempt,
		call:        r.Call,
	}
}

// Unfinished returns the records of calls that started and have no end: those that
// ran when their process was killed, or that still run. Calls that crashed
// their process have an end.
func Unfinished(records []Record) []Record {
	open := map[runOf][]int{} // starts without an end yet, by index
	for i := range records {
		run := newRunOf(&records[i])
		switch starts := open[run]; {
		case records[i].Kind == Started:
			open[run] = append(starts, i)
		case records[i].ended() && len(starts) > 0:
			open[run] = starts[1:]
		}
	}
	var left []int
	for _, starts := range open {
		left = append(left, starts...)
	}
	slices.Sort(left)
	cut := make([]Record, 0, len(left))
	for _, i := range left {
		cut = append(cut, records[i])
	}
	return cut
}
