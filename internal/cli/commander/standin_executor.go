package commander

import (
	"github.com/spf13/cobra"

	"bamboospread/internal/kernel/inspector"
	"bamboospread/internal/kernel/loader"
	"bamboospread/internal/standin/executor"
	"bamboospread/internal/standin/recorder"
)

func newStandinExecutorCommand() *cobra.Command {
	var o standinOptions
	var c executor.Config
	var witness string
	var stateProcess bool
	cmd := &cobra.Command{
		Use:   "executor",
		Short: "Run the executor of a VM with simulated tasks of jobs",
		Example: "  bamboospread standin executor --listen 127.0.0.1:2700 --vm vm-1 --labels a,r1\n" +
			"  curl -d '{\"fail-all\":true}' http://127.0.0.1:2700/control/faults\n" +
			"  curl http://127.0.0.1:2700/control/witness",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var f loader.Findings
			checkRequired(&f, "vm", c.VM)
			if c.Capacity.CPUMillis <= 0 || c.Capacity.MemoryMB <= 0 || c.Capacity.GPUs < 0 {
				f.Add("cpu-millis", "processors and memory of the VM must be above 0, accelerators not below 0")
			}
			if err := settingsError(f.Err()); err != nil {
				return err
			}
			var err error
			if c.Recorder, err = recorder.Open(witness); err != nil {
				return ExitError{Code: ExitUsage, Err: err}
			}
			if self, err := inspector.Self(); err == nil && stateProcess { // elsewhere than on Linux it can't be stated
				c.Process = &self
			}
			return o.serve(cmd, c.VM, executor.New(c).Run)
		},
	}
	o.register(cmd)
	f := cmd.Flags()
	f.StringVar(&c.VM, "vm", "", "name of the VM")
	f.StringSliceVar(&c.Labels, "labels", nil, "labels of the VM")
	f.Int64Var(&c.Capacity.CPUMillis, "cpu-millis", 32_000, "processors of the VM in thousandths of a processor")
	f.Int64Var(&c.Capacity.MemoryMB, "memory-mb", 128_000, "memory of the VM in MB")
	f.Int64Var(&c.Capacity.GPUs, "gpus", 0, "accelerators of the VM")
	f.DurationVar(&c.LeaseMax, "lease-max", 0, "longest lease that it grants (default 10s)")
	f.DurationVar(&c.StopTime, "stop-time", 0, "how long a stop takes (default 50ms)")
	f.DurationVar(&c.LapseTime, "lapse-time", 0, "how long runs take to end once their leases have expired (default 0s)")
	f.BoolVar(&stateProcess, "state-process", true, "state its process, so that the agent knows when it has ended")
	f.StringVar(&witness, "witness-file", "", "append the starts and ends of tasks to this file")
	return cmd
}
