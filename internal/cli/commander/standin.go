package commander

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/spf13/cobra"

	"bamboospread/internal/kernel/reporter"
)

func newStandinCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in for a part of the platform, for demos and tests",
		Long: "Run a stand-in for a part of the platform in a separate process, for demos and tests.\n" +
			"Stand-ins keep everything in memory and have a control endpoint that injects faults.",
	}
	cmd.AddCommand(newStandinStoreCommand(), newStandinWorkerCommand(), newStandinExecutorCommand(), newStandinUpstreamCommand())
	return cmd
}

// standinOptions are the settings that all stand-ins share.
type standinOptions struct {
	listen    string
	logFormat string
	seed      uint64
}

func (o *standinOptions) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.listen, "listen", "127.0.0.1:0", "address to listen on; port 0 selects a free port")
	cmd.Flags().StringVar(&o.logFormat, "log-format", "text", "text or json")
	cmd.Flags().Uint64Var(&o.seed, "seed", 1, "random seed")
}

// serve runs a stand-in until the command's context ends.
func (o *standinOptions) serve(cmd *cobra.Command, name string, run func(context.Context, net.Listener) error) error {
	report, err := reporter.New(reporter.Config{
		Writer: cmd.ErrOrStderr(), Format: o.logFormat, Level: "info", Role: "standin", Name: name,
	})
	if err != nil {
		return ExitError{Code: ExitUsage, Err: err}
	}
	l, err := net.Listen("tcp", o.listen)
	if err != nil {
		return ExitError{Code: ExitFailed, Err: fmt.Errorf("listen on %s: %w", o.listen, err)}
	}
	report.Report(reporter.StandinListening, reporter.Fields{"address": l.Addr().String()})
	if err := run(cmd.Context(), l); err != nil && !errors.Is(err, context.Canceled) {
		return ExitError{Code: ExitFailed, Err: err}
	}
	return nil
}
