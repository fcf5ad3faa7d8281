package commander

import (
	"github.com/spf13/cobra"

	"bamboospread/internal/kernel/loader"
	"bamboospread/internal/standin/storer"
)

func newStandinStoreCommand() *cobra.Command {
	var o standinOptions
	var c storer.Config
	cmd := &cobra.Command{
		Use:   "store",
		Short: "Run an in-memory key-value service",
		Example: "  bamboospread standin store --listen 127.0.0.1:7100\n" +
			"  curl -d '{\"down\":true}' http://127.0.0.1:7100/control/faults\n" +
			"  curl -d '{\"delay-ms\":200,\"lose-answers\":0.1}' http://127.0.0.1:7100/control/faults\n" +
			"  curl http://127.0.0.1:7100/control/calls",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var f loader.Findings
			if c.WritesPerSecond < 0 {
				f.Add("writes-per-second", "%d is below 0", c.WritesPerSecond)
			}
			if c.ReadsPerSecond < 0 {
				f.Add("reads-per-second", "%d is below 0", c.ReadsPerSecond)
			}
			if err := settingsError(f.Err()); err != nil {
				return err
			}
			c.Seed = o.seed
			return o.serve(cmd, "store", storer.New(c).Run)
		},
	}
	o.register(cmd)
	cmd.Flags().IntVar(&c.WritesPerSecond, "writes-per-second", 0, "refuse writes above this rate; 0: no limit")
	cmd.Flags().IntVar(&c.ReadsPerSecond, "reads-per-second", 0, "refuse reads above this rate; 0: no limit")
	return cmd
}
