package commander

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/fleet/validator"
)

// validateAnswer is the output of validate for a valid fleet text.
type validateAnswer struct {
	Fleet             string `json:"fleet"`
	AvailabilityZones int    `json:"availability-zones"`
	Tenants           int    `json:"tenants"`
	Services          int    `json:"services"`
	TaskClasses       int    `json:"task-classes"`
}

func newValidateCommand() *cobra.Command {
	var output outputFlag
	cmd := &cobra.Command{
		Use:     "validate FILE",
		Short:   "Check a fleet text without asking an entry",
		Long:    "Check a fleet text without asking an entry. All faults are listed with line and column. FILE may be - for standard input.",
		Example: "  bamboospread validate examples/caroni.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := output.check(); err != nil {
				return err
			}
			text, err := readText(cmd, args[0])
			if err != nil {
				return err
			}
			config, err := validator.Check(text)
			if err != nil {
				return output.failFindings(cmd, err)
			}
			a := newValidateAnswer(config)
			return output.write(cmd.OutOrStdout(), a, func(w io.Writer) {
				fmt.Fprintf(w, "%s: no faults (%d availability zones, %d tenants, %d services, %d task classes)\n",
					a.Fleet, a.AvailabilityZones, a.Tenants, a.Services, a.TaskClasses)
			})
		},
	}
	output.register(cmd)
	return cmd
}

func newValidateAnswer(c describer.Config) validateAnswer {
	return validateAnswer{c.Name, len(c.Zones), len(c.Tenants), len(c.Services), len(c.TaskClasses)}
}
