package settings

import "github.com/rs/zerolog"

// Level returns the minimum level of logged events.
func (n *Node) Level() zerolog.Level {
	return parseLevel(n.LogLevel)
}

// Level returns the minimum level of logged events.
func (m *Mesh) Level() zerolog.Level {
	return parseLevel(m.LogLevel)
}

func parseLevel(name string) zerolog.Level {
	level, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		return zerolog.InfoLevel
	}
	return level
}
