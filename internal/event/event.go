// Package event emits the numbered events of all processes.
package event

import (
	"github.com/rs/zerolog"
)

// Number identifies a kind of event permanently. Numbers are never reused.
type Number int

// firstUnlinked is the first number of processes that send no logical time with
// their messages.
const firstUnlinked Number = 4000

// CausallyOrdered reports whether processes that emit events of this number send
// logical time with their messages to each other. Logical time orders events of
// such processes only.
func (n Number) CausallyOrdered() bool {
	return n < firstUnlinked
}

// Definition describes one kind of event for the catalogue in docs/EVENTS.md.
type Definition struct {
	// Number is the stable number.
	Number Number
	// Name is the stable name.
	Name string
	// Level is the level at which the event is logged.
	Level zerolog.Level
	// Meaning says what happened and what an operator can do.
	Meaning string
	// RateLimitExempt says that the rate limit never suppresses the event.
	RateLimitExempt bool
}

// Definitions returns every definition, ordered by area.
func Definitions() []Definition {
	var all []Definition
	for _, a := range areas() {
		all = append(all, a.definitions...)
	}
	return all
}

// areaSize is the number of event numbers reserved for each area.
const areaSize = 1000

// area is a range of event numbers, defined in a file of its own.
type area struct {
	first       Number
	title       string
	definitions []Definition
}

func areas() []area {
	return []area{
		{1000, "Traffic", trafficEvents},
		{2000, "Control", controlEvents},
		{3000, "Lifecycle", lifecycleEvents},
		{4000, "Stand-ins", standinEvents},
		{5000, "Load", loadEvents},
	}
}

// Field is one value of an event.
type Field struct {
	// Key is the field's name.
	Key string
	// Value is a string, a number, a bool, a time.Duration or an error.
	Value any
}

// F returns a Field.
func F(key string, value any) Field {
	return Field{Key: key, Value: value}
}
