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

// settingsEvery is how often the settings file is read: the platform may change it
// without a signal.
const settingsEvery = 2 * time.Second

// followSettings puts a changed settings file in force, on SIGHUP and by itself.
func followSettings(ctx context.Context, c Config, apply func(*platform.Settings)) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	current, refused := c.Settings, ""
	for {
		cause := "file"
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangups:
			cause, refused = "signal", ""
		case <-ticker.C:
		}
		next, err := platform.ReadSettings(c.SettingsPath)
		if err != nil {
			if err.Error() != refused { // once, not at each reading
				refused = err.Error()
				c.Reporter.Report(reporter.SettingsRefused, reporter.Fields{"cause": cause, "error": refused})
			}
			continue
		}
		names, live := current.Changes(next)
		if len(names) == 0 && cause != "signal" {
			continue
		}
		c.Reporter.Report(reporter.SettingsReloaded, reporter.Fields{"cause": cause, "changed": strings.Join(names, ","), "in-force": live})
		apply(next)
		current = next
	}
}
