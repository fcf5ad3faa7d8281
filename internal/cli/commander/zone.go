package commander

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"bamboospread/internal/fleet/describer"
)

func newZoneCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "zone",
		Short: "Take an availability zone out of service, or back in",
		Example: `  bamboospread zone out north
  bamboospread zone in north`,
	}
	cmd.AddCommand(
		newZoneStateCommand("out ZONE", "Start nothing more in an availability zone and move its tasks away", describer.ZoneOut),
		newZoneStateCommand("in ZONE", "Take an availability zone back into service", describer.ZoneIn),
	)
	return cmd
}

func newZoneStateCommand(use, short string, state describer.ZoneState) *cobra.Command {
	var flags operatorFlags
	var change changeIDFlag
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Long: short + `.
A zone taken out by command stays out when a fleet text is applied later, until it is
taken back in by command. A zone with the state out in the fleet text can only be
taken back in by another text.`,
		Example: "  bamboospread zone " + string(state) + " north",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			q, err := flags.requester()
			if err != nil {
				return err
			}
			answer, err := q.SetZone(cmd.Context(), args[0], state, change.get())
			if err != nil {
				return flags.fail(cmd, change.get(), err)
			}
			return flags.write(cmd.OutOrStdout(), answer, func(w io.Writer) {
				fmt.Fprintf(w, "availability zone %s is %s from version %d on (change %s)\n", args[0], state, answer.Version, answer.ChangeID)
			})
		},
	}
	flags.register(cmd)
	change.register(cmd)
	return cmd
}
