package event

import "github.com/rs/zerolog"

// The events of a node's life.
const (
	// NodeStarted means that a node's listeners are open.
	NodeStarted Number = 3001
	// NodeLeaving means that a planned stop has begun.
	NodeLeaving Number = 3002
	// NodeStopped means that a planned stop has ended.
	NodeStopped Number = 3003
	// SettingsReloaded means that other settings are in force.
	SettingsReloaded Number = 3004
	// SettingsRefused means that a changed settings file was not taken.
	SettingsRefused Number = 3005
	// LinesSuppressed means that a rate limit held back lines.
	LinesSuppressed Number = 3006
	// LinesLost means that the reader of the output was too slow.
	LinesLost Number = 3007
)

// lifecycleEvents holds the definitions numbered from 3000.
var lifecycleEvents = []Definition{
	{Number: NodeStarted, Name: "node_started", Level: zerolog.InfoLevel, RateLimitExempt: true, Meaning: "The node's listeners are open. It serves once a catalogue is in force."},
	{Number: NodeLeaving, Name: "node_leaving", Level: zerolog.InfoLevel, RateLimitExempt: true, Meaning: "A planned stop has begun: the node takes no new work and finishes what is in flight."},
	{Number: NodeStopped, Name: "node_stopped", Level: zerolog.InfoLevel, RateLimitExempt: true, Meaning: "A planned stop has ended. The field clean is false when work was cut off by stopTimeoutMs."},
	{Number: SettingsReloaded, Name: "settings_reloaded", Level: zerolog.InfoLevel, RateLimitExempt: true, Meaning: "The settings file has changed and is in force."},
	{Number: SettingsRefused, Name: "settings_refused", Level: zerolog.WarnLevel, RateLimitExempt: true, Meaning: "The settings file has changed and can't be taken: it has faults, or another name or address, which needs a restart. The settings from before stay."},
	{Number: LinesSuppressed, Name: "lines_held_back", Level: zerolog.InfoLevel, RateLimitExempt: true, Meaning: "The rate limit held back a count of lines of the event number in the field of, since the last line that told of them."},
	{Number: LinesLost, Name: "lines_lost", Level: zerolog.WarnLevel, RateLimitExempt: true, Meaning: "The reader of the output was too slow and a count of lines was lost. /events at the node's status address still has the newest."},
}
