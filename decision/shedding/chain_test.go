package shedding

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/priority"
)

const second = priority.Priority(1 << 24)

func TestChainThresholdIsTheTightestBelow(t *testing.T) {
	c := NewCalleeTable()
	reserve := Callee{Service: "stock", Route: "reserve"}
	plan := Callee{Service: "dispatch", Route: "plan"}
	below := func(callee Callee) priority.Priority {
		return map[Callee]priority.Priority{reserve: second + 50, plan: second + 90}[callee]
	}
	require.Equal(t, priority.Lowest, c.Threshold("book", below))
	c.RecordCall("book", plan)
	require.Equal(t, second+90, c.Threshold("book", below))
	c.RecordCall("book", reserve)
	c.RecordCall("book", reserve)
	require.Equal(t, second+50, c.Threshold("book", below))
	require.Equal(t, priority.Lowest, c.Threshold("other", below))
}
