package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/service/hoster"
	"bamboospread/platform"
)

// newHostedCommand is the parent of the roles that run on the users' platform. Their
// settings come from the platform's file.
func newHostedCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "hosted",
		Short: "Run a role on the users' platform, with the settings file that the platform writes",
	}
	cmd.AddCommand(
		newHostedRole("entry", "Serve callers and own jobs if need be", func(c hoster.Config) func(context.Context) error { return hoster.NewEntry(c).Run }),
		newHostedRole("agent", "Guard the worker of this VM", func(c hoster.Config) func(context.Context) error { return hoster.NewAgent(c).Run }),
	)
	return cmd
}

func newHostedRole(role, short string, build func(hoster.Config) func(context.Context) error) *cobra.Command {
	return &cobra.Command{
		Use:   role,
		Short: short,
		Long:  fmt.Sprintf("%s. The environment variable %s holds the path of the settings file.", short, platform.SettingsVariable),
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			path := os.Getenv(platform.SettingsVariable)
			settings, err := platform.ReadSettings(path)
			if err != nil {
				return usage(err)
			}
			r, err := reporter.New(reporter.Config{Writer: cmd.OutOrStdout(), Format: "text", Level: "info", Role: role, Name: settings.Name})
			if err != nil {
				return usage(err)
			}
			r.Report(reporter.ProcessStarted, reporter.Fields{"zone": settings.Zone, "store": settings.StoreAddress})
			if err := build(hoster.Config{Settings: settings, SettingsPath: path, Reporter: r})(cmd.Context()); err != nil {
				return ExitError{Code: ExitFailed, Err: err}
			}
			r.Report(reporter.ProcessStopped, nil)
			return nil
		},
	}
}
