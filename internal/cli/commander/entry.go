package commander

import (
	"time"

	"github.com/spf13/cobra"

	"bamboospread/internal/kernel/loader"
	"bamboospread/internal/kernel/spooler"
	"bamboospread/internal/service/server"
)

func newEntryCommand(s *stops) *cobra.Command {
	var p processFlags
	var c server.Config
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry: serve callers and operators, route requests, own the cell when needed",
		Example: `  bamboospread entry --id entry-1 --listen 10.0.0.1:8080 --rpc-listen 10.0.0.1:8081 \
    --store-url http://10.0.0.9:2400 --zone north`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var findings loader.Findings
			c.ID, c.StopTimeout = p.id, p.stopTimeout
			out := spooler.New(cmd.OutOrStdout())
			defer out.Close()
			c.Reporter = p.newReporter(out, "entry", &findings)
			s.logTo(c.Reporter, out.Close)
			checkEntry(c, &findings)
			checkMaxConnections(&findings, c.MaxConnections)
			if err := findings.Err(); err != nil {
				return settingsError(err)
			}
			entry, err := server.New(c)
			if err != nil {
				return ExitError{Code: ExitFailed, Err: err}
			}
			if err := entry.Run(cmd.Context()); err != nil {
				return ExitError{Code: ExitFailed, Err: err}
			}
			return nil
		},
	}
	p.register(cmd)
	f := cmd.Flags()
	f.StringVar(&c.Listen, "listen", "127.0.0.1:8080", "address for callers and operators (HTTP)")
	f.StringVar(&c.RPCListen, "rpc-listen", "127.0.0.1:8081", "address for agents and other entries (JSON-RPC)")
	f.StringVar(&c.Advertise, "advertise", "", "RPC address announced to other processes (default: that of --rpc-listen)")
	f.StringVar(&c.Zone, "zone", "", "availability zone of this VM")
	f.StringSliceVar(&c.Peers, "peers", nil, "RPC addresses of other entries, used to start while the store is down")
	f.StringVar(&c.StoreURL, "store-url", "http://127.0.0.1:2400", "URL of the platform's key-value service")
	f.StringVar(&c.Cell, "cell", "main", "cell that this entry serves")
	f.BoolVar(&c.MayOwn, "may-own", true, "compete for ownership of the cell")
	f.DurationVar(&c.OwnerLease, "owner-lease", 6*time.Second, "store lease of the cell's owner; a failed owner is replaced after this time")
	f.DurationVar(&c.VMLease, "vm-lease", 6*time.Second, "lease of a VM; tasks of an unreachable VM restart elsewhere after this time")
	f.DurationVar(&c.OutageLease, "outage-lease", 0, "lease of VMs while the store is unavailable (default: the value in the fleet text)")
	registerMaxConnections(cmd, &c.MaxConnections)
	return cmd
}

// minLease lets an owner repeat a renewal whose store call timed out after a second, before
// its lease expires.
const minLease = 2 * time.Second

func checkEntry(c server.Config, findings *loader.Findings) {
	checkAddress(findings, "listen", c.Listen)
	checkAddress(findings, "rpc-listen", c.RPCListen)
	if c.Advertise != "" {
		checkAddress(findings, "advertise", c.Advertise)
	}
	checkAddresses(findings, "peers", c.Peers)
	checkURL(findings, "store-url", c.StoreURL)
	checkRequired(findings, "cell", c.Cell)
	if c.OwnerLease < minLease {
		findings.Add("owner-lease", "%s is below %s", c.OwnerLease, minLease)
	}
	if c.VMLease < minLease {
		findings.Add("vm-lease", "%s is below %s", c.VMLease, minLease)
	}
	if c.OutageLease != 0 && c.OutageLease < c.VMLease {
		findings.Add("outage-lease", "%s is below the VM lease %s", c.OutageLease, c.VMLease)
	}
}
