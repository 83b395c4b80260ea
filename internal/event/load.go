package event

import "github.com/rs/zerolog"

// Events of the load tool.
const (
	// LoadStarted means that an experiment begins.
	LoadStarted Number = 5001
	// LoadPhase means that a phase of an experiment begins.
	LoadPhase Number = 5002
	// LoadFinished means that every request of an experiment has ended.
	LoadFinished Number = 5003
)

// loadEvents holds the definitions numbered from 5000.
var loadEvents = []Definition{
	{Number: LoadStarted, Name: "load_started", Level: zerolog.InfoLevel, Meaning: "The load tool begins an experiment."},
	{Number: LoadPhase, Name: "load_phase", Level: zerolog.InfoLevel, Meaning: "A phase of the experiment begins: its rates and speeds apply from now on."},
	{Number: LoadFinished, Name: "load_finished", Level: zerolog.InfoLevel, Meaning: "Every request of the experiment has ended."},
}
