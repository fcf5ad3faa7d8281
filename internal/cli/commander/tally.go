package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"bamboospread/internal/operator/tallier"
)

func newTallyCommand() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "tally [LOG...]",
		Short: "Summarize from logs how jobs spent their time, and why jobs were refused or run again",
		Long: `Read logs of entries and agents in text format from files or from standard input, and
print for each queue how its jobs ended, how long their tasks waited and ran, and why
runs were stopped, steps waited and jobs were refused.`,
		Example: `  bamboospread tally entry-1.log entry-2.log
  bamboospread tally --output json < all.log`,
		RunE: func(cmd *cobra.Command, args []string) error {
			if output != "text" && output != "json" {
				return usageError(fmt.Errorf("--output %q: must be text or json", output))
			}
			t := tallier.New()
			if err := readLogs(t, cmd.InOrStdin(), args); err != nil {
				return err
			}
			if output == "json" {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(t.Tally())
			}
			return t.Tally().Write(cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&output, "output", "text", "text or json")
	return cmd
}

func readLogs(t *tallier.Tallier, stdin io.Reader, paths []string) error {
	if len(paths) == 0 {
		return t.Read(stdin)
	}
	for _, path := range paths {
		if err := readLog(t, path); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}

func readLog(t *tallier.Tallier, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return t.Read(f)
}
