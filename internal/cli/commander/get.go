package commander

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"bamboospread/internal/operator/handler"
)

func newGetCommand() *cobra.Command {
	var flags operatorFlags
	var version int64
	cmd := &cobra.Command{
		Use:   "get",
		Short: "Show the fleet text in force",
		Long: `Show the fleet text in force. The text is written to standard output as it was applied;
the version and the zones taken out by command are written to standard error.`,
		Example: `  bamboospread get > fleet.yaml
  bamboospread get --version 11`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			q, err := flags.requester()
			if err != nil {
				return err
			}
			var a handler.FleetAnswer
			if version > 0 {
				a, err = q.GetFleetVersion(cmd.Context(), version)
			} else {
				a, err = q.GetFleet(cmd.Context())
			}
			if err != nil {
				return flags.fail(cmd, "", err)
			}
			return flags.write(cmd.OutOrStdout(), a, func(w io.Writer) {
				fmt.Fprint(w, a.Text)
				writeFleetNotes(cmd.ErrOrStderr(), a)
			})
		},
	}
	flags.register(cmd)
	cmd.Flags().Int64Var(&version, "version", 0, "show this recent version; 0: the one in force")
	return cmd
}

func writeFleetNotes(w io.Writer, a handler.FleetAnswer) {
	fmt.Fprintf(w, "version %d\n", a.Version)
	if len(a.ZonesOut) > 0 {
		fmt.Fprintf(w, "taken out by command: %s\n", strings.Join(a.ZonesOut, ", "))
	}
	if a.Stale {
		fmt.Fprintln(w, "this may not be the newest version: it is an earlier one, or the store cannot be reached now")
	}
}
