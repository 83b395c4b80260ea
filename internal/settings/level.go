package settings

import "github.com/rs/zerolog"

// Level returns the level from which on events are logged.
func (n *Node) Level() zerolog.Level {
	level, err := zerolog.ParseLevel(n.LogLevel)
	if err != nil || n.LogLevel == "" {
		return zerolog.InfoLevel
	}
	return level
}
