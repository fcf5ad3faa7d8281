package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"bamboospread/internal/demo/demonstrator"
	"bamboospread/internal/kernel/loader"
	"bamboospread/internal/kernel/reporter"
)

const (
	demoDuration    = 10 * time.Second
	minDemoDuration = 3 * time.Second
)

func newDemoCommand() *cobra.Command {
	var duration time.Duration
	var output outputFlag
	var logLevel string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run the whole system in one process with embedded stand-ins",
		Long: `Demo starts a store, six VMs and two entries in this process, sends requests and
tasks, takes one availability zone out of service and back in, and prints what callers
and stand-ins counted. It ends on its own; the exit code is 1 if a guarantee was violated.`,
		Example: "  bamboospread demo --duration 20s --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var findings loader.Findings
			if duration < minDemoDuration {
				findings.Add("duration", "%s is below %s", duration, minDemoDuration)
			}
			if err := output.check(); err != nil {
				return err
			}
			r, err := reporter.New(reporter.Config{Writer: cmd.ErrOrStderr(), Format: "text", Level: logLevel, Role: "demo", Name: "demo"})
			if err != nil {
				findings.Add("log-level", "%v", err)
			}
			if err := findings.Err(); err != nil {
				return settingsError(err)
			}
			d := demonstrator.New(demonstrator.Config{Duration: duration, Progress: cmd.ErrOrStderr(), Reporter: r})
			summary, err := d.Run(cmd.Context())
			if err != nil {
				return ExitError{Code: ExitFailed, Err: err}
			}
			return printDemo(cmd.OutOrStdout(), output.format, summary)
		},
	}
	cmd.Flags().DurationVar(&duration, "duration", demoDuration, "duration of the load")
	output.register(cmd)
	cmd.Flags().StringVar(&logLevel, "log-level", "error", "debug, info, warn or error")
	return cmd
}

func printDemo(w io.Writer, output string, s demonstrator.Summary) error {
	if output == "json" {
		if err := json.NewEncoder(w).Encode(s); err != nil {
			return ExitError{Code: ExitFailed, Err: fmt.Errorf("write summary: %w", err)}
		}
	} else {
		s.Print(w)
	}
	if !s.GuaranteesHold {
		return ExitError{Code: ExitFailed, Err: fmt.Errorf("a guarantee was violated, see the summary")}
	}
	return nil
}
