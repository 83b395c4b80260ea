package platform

// Mode determines how the platform responds to readers.
type Mode string

// Values of Mode.
const (
	// ModeUp publishes the newest state.
	ModeUp Mode = "up"
	// ModeDown refuses all reads and watches.
	ModeDown Mode = "down"
	// ModeStale publishes the state at the start of the mode and hides later
	// writes.
	ModeStale Mode = "stale"
	// ModeRollback publishes an older state with its revisions.
	ModeRollback Mode = "rollback"
)

// ModeChange is the request body of a change of mode.
type ModeChange struct {
	// Mode is the new mode.
	Mode Mode `json:"mode"`
	// Revisions is the number of revisions to roll back.
	Revisions int `json:"revisions,omitempty"`
	// Permanent makes a rollback discard the newer states, as the restore of a
	// backup does: the platform is in the mode "up" again and reuses the discarded
	// revisions for other values. Without it, the mode "up" publishes the newest
	// state again.
	Permanent bool `json:"permanent,omitempty"`
	// CloseConnections makes the mode "down" close connections in place of
	// responding with status 503.
	CloseConnections bool `json:"close,omitempty"`
}
