package commander

import (
	"github.com/spf13/cobra"

	"bamboospread/internal/kernel/loader"
	"bamboospread/internal/standin/recorder"
	"bamboospread/internal/standin/worker"
)

func newStandinWorkerCommand() *cobra.Command {
	var o standinOptions
	var c worker.Config
	var witness string
	cmd := &cobra.Command{
		Use:   "worker",
		Short: "Run the worker of a VM with simulated tasks",
		Example: "  bamboospread standin worker --vm vm-1 --zone a --rack r1 --millicores 32000 --memory-bytes 134217728000\n" +
			"  curl -d '{\"fail-all\":true}' http://127.0.0.1:7200/control/faults\n" +
			"  curl http://127.0.0.1:7200/control/witness",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var f loader.Findings
			if c.Capacity.VM == "" {
				f.Add("vm", "must be given")
			}
			if c.Capacity.Zone == "" {
				f.Add("zone", "must be given")
			}
			if c.Capacity.Total.Millicores <= 0 || c.Capacity.Total.MemoryBytes <= 0 || c.Capacity.Total.Accelerators < 0 {
				f.Add("millicores", "processors and memory of the VM must be above 0, accelerators not below 0")
			}
			if err := settingsError(f.Err()); err != nil {
				return err
			}
			var err error
			if c.Recorder, err = recorder.Open(witness); err != nil {
				return ExitError{Code: ExitUsage, Err: err}
			}
			return o.serve(cmd, c.Capacity.VM, worker.New(c).Run)
		},
	}
	o.register(cmd)
	cmd.Flags().StringVar(&c.Capacity.VM, "vm", "", "name of the VM")
	cmd.Flags().StringVar(&c.Capacity.Zone, "zone", "", "availability zone of the VM")
	cmd.Flags().StringVar(&c.Capacity.Rack, "rack", "", "rack of the VM")
	cmd.Flags().Int64Var(&c.Capacity.Total.Millicores, "millicores", 32_000, "processors of the VM in thousandths of a processor")
	cmd.Flags().Int64Var(&c.Capacity.Total.MemoryBytes, "memory-bytes", 125<<30, "memory of the VM in bytes")
	cmd.Flags().Int64Var(&c.Capacity.Total.Accelerators, "accelerators", 0, "accelerators of the VM")
	cmd.Flags().DurationVar(&c.UsageLag, "usage-lag", 0, "age of the usage data when it is reported (default 2s)")
	cmd.Flags().StringVar(&witness, "witness-file", "", "append the starts and ends of tasks to this file")
	return cmd
}
