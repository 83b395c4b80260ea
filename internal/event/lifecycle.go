package event

import "github.com/rs/zerolog"

// Events of the start, the stop and the settings of a node.
const (
	// NodeStarted means that a node's listeners are open.
	NodeStarted Number = 3001
	// NodeLeaving means that a planned stop has begun.
	NodeLeaving Number = 3002
	// NodeStopped means that a planned stop has ended.
	NodeStopped Number = 3003
	// SettingsReloaded means that changed settings are in force.
	SettingsReloaded Number = 3004
	// SettingsRefused means that a changed settings file was refused.
	SettingsRefused Number = 3005
	// LinesSuppressed means that the rate limit suppressed lines.
	LinesSuppressed Number = 3006
	// LinesLost means that lines were lost because the reader of the output was too slow.
	LinesLost Number = 3007
)

// lifecycleEvents holds the definitions numbered from 3000.
var lifecycleEvents = []Definition{
	{Number: NodeStarted, Name: "node_started", Level: zerolog.InfoLevel, RateLimitExempt: true, Meaning: "The node's listeners are open. It serves calls once a catalogue is in force."},
	{Number: NodeLeaving, Name: "node_leaving", Level: zerolog.InfoLevel, RateLimitExempt: true, Meaning: "A planned stop has begun: the node accepts no new work and finishes the calls in flight."},
	{Number: NodeStopped, Name: "node_stopped", Level: zerolog.InfoLevel, RateLimitExempt: true, Meaning: "A planned stop has ended. The field clean is false when stopTimeoutMs expired and calls were aborted."},
	{Number: SettingsReloaded, Name: "settings_reloaded", Level: zerolog.InfoLevel, RateLimitExempt: true, Meaning: "The settings file has changed, and the new settings are in force."},
	{Number: SettingsRefused, Name: "settings_refused", Level: zerolog.WarnLevel, RateLimitExempt: true, Meaning: "The settings file has changed but was refused: it has faults, or changes a name or address, which needs a restart. The previous settings stay in force. Correct the file or restart the node."},
	{Number: LinesSuppressed, Name: "lines_held_back", Level: zerolog.InfoLevel, RateLimitExempt: true, Meaning: "The rate limit suppressed lines of the event number in the field of. The field count is their number since the last line that reported them."},
	{Number: LinesLost, Name: "lines_lost", Level: zerolog.WarnLevel, RateLimitExempt: true, Meaning: "The reader of the log output was too slow, and the number of lines in the field count was lost. The newest lines are still available at /events of the node's status address."},
}
