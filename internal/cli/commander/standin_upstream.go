package commander

import (
	"time"

	"github.com/spf13/cobra"

	"bamboospread/internal/kernel/loader"
	"bamboospread/internal/standin/recorder"
	"bamboospread/internal/standin/responder"
)

func newStandinUpstreamCommand() *cobra.Command {
	var o standinOptions
	var c responder.Config
	var witness, distribution string
	cmd := &cobra.Command{
		Use:   "upstream",
		Short: "Run an upstream that echoes requests",
		Example: "  bamboospread standin upstream --id u1 --service labels --agent http://127.0.0.1:7300\n" +
			"  curl -d '{\"slow\":20}' http://127.0.0.1:7400/control/modes\n" +
			"  curl -d '{\"crossed\":true,\"share\":0.2}' http://127.0.0.1:7400/control/modes\n" +
			"  curl http://127.0.0.1:7400/control/counts",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var f loader.Findings
			if c.ID == "" {
				f.Add("id", "must be given")
			}
			if c.Service == "" {
				f.Add("service", "must be given")
			}
			c.Distribution = responder.Distribution(distribution)
			if c.Distribution != responder.Fixed && c.Distribution != responder.Exponential {
				f.Add("distribution", "%q: must be fixed or exponential", distribution)
			}
			if err := settingsError(f.Err()); err != nil {
				return err
			}
			var err error
			if c.Recorder, err = recorder.Open(witness); err != nil {
				return ExitError{Code: ExitUsage, Err: err}
			}
			c.Seed = o.seed
			return o.serve(cmd, c.ID, responder.New(c).Run)
		},
	}
	o.register(cmd)
	cmd.Flags().StringVar(&c.ID, "id", "", "name of the upstream, unique in the fleet")
	cmd.Flags().StringVar(&c.Service, "service", "", "service that it serves")
	cmd.Flags().IntVar(&c.Slots, "slots", 8, "requests that it is meant to run at once; more count as overload")
	cmd.Flags().IntVar(&c.Connections, "connections", 64, "open connections that it accepts")
	cmd.Flags().DurationVar(&c.ServiceTime, "service-time", 2*time.Millisecond, "mean service time of a request")
	cmd.Flags().StringVar(&distribution, "distribution", "fixed", "distribution of service times: fixed or exponential")
	cmd.Flags().StringVar(&c.Agent, "agent", "", "URL of the agent's local listener to announce to; empty: none")
	cmd.Flags().StringVar(&c.Advertise, "advertise", "", "address that it announces; empty: the one at which it listens")
	cmd.Flags().StringVar(&witness, "witness-file", "", "append the requests that it runs to this file")
	return cmd
}
