package hoster

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/platform"
)

// settingsPollInterval is the interval at which the settings file is read. The platform
// may change the file without sending a signal.
const settingsPollInterval = 2 * time.Second

// followSettings applies a changed settings file, on SIGHUP or at the next poll.
func followSettings(ctx context.Context, c Config, apply func(*platform.Settings)) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	current, lastError := c.Settings, ""
	for {
		cause := "file"
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangups:
			cause, lastError = "signal", ""
		case <-ticker.C:
		}
		next, err := platform.ReadSettings(c.SettingsPath)
		if err != nil {
			if err.Error() != lastError { // log each error once, not at every poll
				lastError = err.Error()
				c.Reporter.Report(reporter.SettingsRefused, reporter.Fields{"cause": cause, "error": lastError})
			}
			continue
		}
		names, inForce := current.Changes(next)
		if len(names) == 0 && cause != "signal" {
			continue
		}
		c.Reporter.Report(reporter.SettingsReloaded, reporter.Fields{"cause": cause, "changed": strings.Join(names, ","), "in-force": inForce})
		apply(next)
		current = next
	}
}
