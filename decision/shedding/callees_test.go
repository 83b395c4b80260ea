package shedding

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/priority"
)

const secondClass = priority.Priority(1 << 24)

func TestCalleeTableThresholdIsLowest(t *testing.T) {
	table := NewCalleeTable()
	reserve := Callee{Service: "stock", Route: "reserve"}
	plan := Callee{Service: "dispatch", Route: "plan"}
	below := func(callee Callee) priority.Priority {
		return map[Callee]priority.Priority{reserve: secondClass + 50, plan: secondClass + 90}[callee]
	}
	require.Equal(t, priority.Lowest, table.Threshold("book", below))
	table.RecordCall("book", plan)
	require.Equal(t, secondClass+90, table.Threshold("book", below))
	table.RecordCall("book", reserve)
	table.RecordCall("book", reserve)
	require.Equal(t, secondClass+50, table.Threshold("book", below))
	require.Equal(t, priority.Lowest, table.Threshold("other", below))
}
