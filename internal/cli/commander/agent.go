package commander

import (
	"github.com/spf13/cobra"

	"bamboospread/internal/kernel/loader"
	"bamboospread/internal/kernel/spooler"
	"bamboospread/internal/service/agent"
)

func newAgentCommand(s *stops) *cobra.Command {
	var p processFlags
	var c agent.Config
	cmd := &cobra.Command{
		Use:   "agent",
		Short: "Run the agent of a VM: manage its upstreams and run tasks on its worker",
		Example: `  bamboospread agent --id agent-7 --vm vm-7 --zone north --rack r2 \
    --entries 10.0.0.1:8081,10.0.0.2:8081 --worker-url http://127.0.0.1:2500`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var findings loader.Findings
			c.ID, c.StopTimeout = p.id, p.stopTimeout
			out := spooler.New(cmd.OutOrStdout())
			defer out.Close()
			c.Reporter = p.newReporter(out, "agent", &findings)
			s.logTo(c.Reporter, out.Close)
			checkAgent(c, &findings)
			checkMaxConnections(&findings, c.MaxConnections)
			if err := findings.Err(); err != nil {
				return settingsError(err)
			}
			a, err := agent.New(c)
			if err != nil {
				return ExitError{Code: ExitFailed, Err: err}
			}
			if err := a.Run(cmd.Context()); err != nil {
				return ExitError{Code: ExitFailed, Err: err}
			}
			return nil
		},
	}
	p.register(cmd)
	f := cmd.Flags()
	f.StringVar(&c.VM, "vm", "", "name of this VM")
	f.StringVar(&c.Zone, "zone", "", "availability zone of this VM")
	f.StringVar(&c.Rack, "rack", "", "rack of this VM")
	f.StringSliceVar(&c.Entries, "entries", []string{"127.0.0.1:8081"}, "RPC addresses of some entries; they report the others")
	f.StringVar(&c.WorkerURL, "worker-url", "http://127.0.0.1:2500", "URL of the worker on this VM")
	f.StringVar(&c.ExecutorURL, "executor-url", "", "URL of the executor on this VM; if given, tasks of jobs run there and tasks of task classes do not run on the worker")
	f.StringVar(&c.Service, "service", "", "service that this VM belongs to, for queues that name a service")
	f.StringVar(&c.LocalListen, "local-listen", "127.0.0.1:8090", "address at which upstreams of this VM announce themselves")
	f.StringVar(&c.Listen, "listen", "127.0.0.1:8091", "address for /metrics, /healthz and /readyz")
	f.StringVar(&c.Cell, "cell", "main", "cell to which this VM belongs")
	registerMaxConnections(cmd, &c.MaxConnections)
	return cmd
}

func checkAgent(c agent.Config, findings *loader.Findings) {
	checkRequired(findings, "vm", c.VM)
	checkRequired(findings, "zone", c.Zone)
	checkRequired(findings, "rack", c.Rack)
	checkRequired(findings, "cell", c.Cell)
	if len(c.Entries) == 0 {
		findings.Add("entries", "must name at least one entry")
	}
	checkAddresses(findings, "entries", c.Entries)
	checkURL(findings, "worker-url", c.WorkerURL)
	if c.ExecutorURL != "" {
		checkURL(findings, "executor-url", c.ExecutorURL)
	}
	checkAddress(findings, "local-listen", c.LocalListen)
	checkAddress(findings, "listen", c.Listen)
}
