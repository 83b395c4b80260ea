package proxynode

import (
	"context"
	"os/signal"
	"time"

	"github.com/galenacart/galenacart/internal/event"
)

// reloadInterval is the interval between two checks of the settings file, which may change
// without a signal.
const reloadInterval = 2 * time.Second

// reloadSettings applies changed settings until ctx ends: at SIGHUP, and when the file has
// changed. The same error is logged only once in a row.
func (n *Node) reloadSettings(ctx context.Context) {
	defer signal.Stop(n.reloadSignals)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	reported := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.reloadSignals:
		case <-ticker.C:
		}
		changed, err := n.config.Settings.Reload()
		if err != nil && err.Error() != reported {
			reported = err.Error()
			n.log.Emit(event.SettingsRefused, "", event.F("error", err))
		}
		if changed {
			reported = ""
			n.log.Emit(event.SettingsReloaded, "")
		}
	}
}
