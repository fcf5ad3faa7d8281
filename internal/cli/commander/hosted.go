package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/loader"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/kernel/spooler"
	"bamboospread/internal/service/hoster"
	"bamboospread/platform"
)

// newHostedCommand returns the parent of the roles that run on the users' platform. Their
// settings come from the file that the platform writes.
func newHostedCommand(s *stops) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "hosted",
		Short: "Run a role on the users' platform, with the settings file that the platform writes",
	}
	cmd.AddCommand(newHostedEntry(s), newHostedRole(s, "agent", "Manage the worker of this VM", func(c hoster.Config) (func(context.Context) error, error) { return hoster.NewAgent(c).Run, nil }))
	return cmd
}

// newHostedEntry returns the command of an entry. What operators of the platform cannot express in
// their records is given by flags.
func newHostedEntry(s *stops) *cobra.Command {
	var loadControl, accounts []string
	cmd := newHostedRole(s, "entry", "Serve callers and own the cell of jobs when needed", func(c hoster.Config) (func(context.Context) error, error) {
		var findings loader.Findings
		var err error
		if c.LoadControl, err = specifier.ParseLoadControl(loadControl); err != nil {
			findings.Add("load-control", "%v", err)
		}
		if c.Accounts, err = specifier.ParseAccounts(accounts); err != nil {
			findings.Add("account", "%v", err)
		}
		if err := findings.Err(); err != nil {
			return nil, err
		}
		return hoster.NewEntry(c).Run, nil
	})
	cmd.Flags().StringSliceVar(&loadControl, "load-control", nil, "decisions under load: any of estimates, admission, shares, forecast")
	cmd.Flags().StringArrayVar(&accounts, "account", nil, "weight and quota of a client account, NAME=WEIGHT[,cpu=CORES][,memory=MB]; an availability zone where callers name no account; may be repeated")
	return cmd
}

func newHostedRole(s *stops, role, short string, build func(hoster.Config) (func(context.Context) error, error)) *cobra.Command {
	var logFormat, logLevel string
	cmd := &cobra.Command{
		Use:     role,
		Short:   short,
		Long:    fmt.Sprintf("%s. The environment variable %s holds the path of the settings file.", short, platform.SettingsVariable),
		Example: fmt.Sprintf("  %s=/etc/bamboospread/settings.conf bamboospread hosted %s", platform.SettingsVariable, role),
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := spooler.New(cmd.OutOrStdout())
			defer out.Close()
			path := os.Getenv(platform.SettingsVariable)
			settings, err := platform.ReadSettings(path)
			if err != nil {
				return settingsError(err)
			}
			var findings loader.Findings
			r, err := reporter.New(reporter.Config{Writer: out, Format: logFormat, Level: logLevel, Role: role, Name: settings.Name})
			if err != nil {
				findings.Add("log-format", "%v", err)
				return settingsError(findings.Err())
			}
			reportClosedConnections(r)
			serve, err := build(hoster.Config{Settings: settings, SettingsPath: path, Reporter: r})
			if err != nil {
				return settingsError(err)
			}
			s.completeStop(r)
			r.Report(reporter.ProcessStarted, reporter.Fields{"zone": settings.Zone, "store": settings.StoreAddress, "cores": settings.Cores, "link-mbps": settings.LinkMbps})
			if err := serve(cmd.Context()); err != nil {
				return ExitError{Code: ExitFailed, Err: err}
			}
			r.Report(reporter.ProcessStopped, nil)
			return nil
		},
	}
	cmd.Flags().StringVar(&logFormat, "log-format", "text", "text or json")
	cmd.Flags().StringVar(&logLevel, "log-level", "info", "debug, info, warn or error")
	return cmd
}
