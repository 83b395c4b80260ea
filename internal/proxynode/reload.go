package proxynode

import (
	"context"
	"os/signal"
	"time"

	"github.com/galenacart/galenacart/internal/event"
)

// reloadInterval is the time between two looks at the settings file, which may
// change without a signal.
const reloadInterval = 2 * time.Second

// reload takes new settings into force until ctx ends: at SIGHUP, and when the
// file has changed. A file that can't be taken is told once.
func (n *Node) reload(ctx context.Context) {
	defer signal.Stop(n.hangup)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	told := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.hangup:
		case <-ticker.C:
		}
		changed, err := n.config.Settings.Reload()
		if err != nil && err.Error() != told {
			told = err.Error()
			n.log.Emit(event.SettingsRefused, "", event.F("error", err))
		}
		if changed {
			told = ""
			n.log.Emit(event.SettingsReloaded, "")
		}
	}
}
