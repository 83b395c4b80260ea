package settings

import "github.com/rs/zerolog"

// Level returns the level from which on events are logged.
func (n *Node) Level() zerolog.Level {
	return levelOf(n.LogLevel)
}

// Level returns the level from which on events are logged.
func (m *Mesh) Level() zerolog.Level {
	return levelOf(m.LogLevel)
}

func levelOf(name string) zerolog.Level {
	level, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		return zerolog.InfoLevel
	}
	return level
}
