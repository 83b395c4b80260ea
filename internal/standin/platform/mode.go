package platform

// Mode is how the platform behaves towards readers.
type Mode string

// The modes.
const (
	// ModeUp shows the newest state.
	ModeUp Mode = "up"
	// ModeDown refuses every read.
	ModeDown Mode = "down"
	// ModeStale shows the state of the moment at which the mode began, while
	// writes go on underneath.
	ModeStale Mode = "stale"
	// ModeRollback shows an older state with its older revisions.
	ModeRollback Mode = "rollback"
)

// ModeChange asks for a mode.
type ModeChange struct {
	// Mode is the new mode.
	Mode Mode `json:"mode"`
	// Revisions is the number of revisions that a rollback goes back.
	Revisions int `json:"revisions,omitempty"`
	// Permanent makes a rollback forget the newer states, as a restored backup
	// does: the platform is up again and uses the same revisions for other
	// values. Without it, the mode "up" brings the newest state back.
	Permanent bool `json:"permanent,omitempty"`
	// CloseConnections makes the mode "down" close connections in place of answering 503.
	CloseConnections bool `json:"close,omitempty"`
}
