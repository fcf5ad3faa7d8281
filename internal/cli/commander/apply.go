package commander

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/fleet/differ"
	"bamboospread/internal/fleet/validator"
	"bamboospread/internal/operator/requester"
)

// baseVersionInForce selects the version that is in force when the command runs.
const baseVersionInForce = -1

func newApplyCommand() *cobra.Command {
	var flags operatorFlags
	var change changeIDFlag
	var base int64
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put a fleet text in force",
		Long: `Put a fleet text in force. The text is based on a version: if another change was
applied since, nothing is changed, the difference is shown and the exit code is 3.
Without --base the version now in force is used. FILE may be - for standard input.`,
		Example: `  bamboospread apply examples/caroni.yaml
  bamboospread apply --base 12 fleet.yaml`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			q, err := flags.requester()
			if err != nil {
				return err
			}
			text, err := readText(cmd, args[0])
			if err != nil {
				return err
			}
			if _, err := validator.Check(text); err != nil {
				return flags.failFindings(cmd, err)
			}
			if base == baseVersionInForce {
				now, err := q.GetFleet(cmd.Context())
				if err != nil {
					return flags.fail(cmd, "", err)
				}
				base = now.Version
			}
			answer, err := q.Apply(cmd.Context(), requester.ApplyOptions{Text: text, Base: base, ChangeID: change.get()})
			if err != nil {
				return flags.fail(cmd, change.get(), err)
			}
			return flags.write(cmd.OutOrStdout(), answer, func(w io.Writer) {
				fmt.Fprintf(w, "version %d is in force (change %s)\n", answer.Version, answer.ChangeID)
			})
		},
	}
	flags.register(cmd)
	change.register(cmd)
	cmd.Flags().Int64Var(&base, "base", baseVersionInForce, "version on which the text is based; 0 for the first text, -1 for the version in force")
	return cmd
}

// diffAnswer is the output of diff.
type diffAnswer struct {
	Version    int64    `json:"version"` // in force
	Difference []string `json:"difference"`
}

func newDiffCommand() *cobra.Command {
	var flags operatorFlags
	cmd := &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show what applying a fleet text would change",
		Long:    "Show what applying a fleet text would change. Comments, order and the notation of sizes are ignored.",
		Example: "  bamboospread diff fleet.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			q, err := flags.requester()
			if err != nil {
				return err
			}
			text, err := readText(cmd, args[0])
			if err != nil {
				return err
			}
			wanted, err := validator.Check(text)
			if err != nil {
				return flags.failFindings(cmd, err)
			}
			now, err := q.GetFleet(cmd.Context())
			if err != nil {
				return flags.fail(cmd, "", err)
			}
			current := describer.Config{}
			if now.Version > 0 {
				if current, err = validator.Check([]byte(now.Text)); err != nil {
					return ExitError{Code: ExitFailed, Err: fmt.Errorf("read the text in force: %w", err)}
				}
			}
			a := diffAnswer{now.Version, differ.Diff(current, wanted)}
			return flags.write(cmd.OutOrStdout(), a, func(w io.Writer) { writeDiff(w, a) })
		},
	}
	flags.register(cmd)
	return cmd
}

func writeDiff(w io.Writer, a diffAnswer) {
	if len(a.Difference) == 0 {
		fmt.Fprintf(w, "no difference from version %d\n", a.Version)
		return
	}
	fmt.Fprintf(w, "difference from version %d:\n", a.Version)
	for _, line := range a.Difference {
		fmt.Fprintln(w, "  "+line)
	}
}
