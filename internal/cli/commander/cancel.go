package commander

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"bamboospread/internal/wire/messenger"
)

func newCancelCommand() *cobra.Command {
	var flags operatorFlags
	var wanted messenger.CancelRequest
	var job string
	cmd := &cobra.Command{
		Use:   "cancel [TASK ...]",
		Short: "Cancel tasks by id, all tasks of a tenant and class, or a job",
		Example: `  bamboospread cancel lot-4711 lot-4712
  bamboospread cancel --tenant packhouse --class label-batch
  bamboospread cancel --job 00000000000004d2`,
		RunE: func(cmd *cobra.Command, args []string) error {
			q, err := flags.requester()
			if err != nil {
				return err
			}
			if job != "" {
				if len(args) > 0 || wanted.Tenant+wanted.Class != "" {
					return usageError(errors.New("--job cannot be combined with task ids, --tenant or --class"))
				}
				return flags.cancelJob(cmd, q, job)
			}
			wanted.IDs = args
			switch {
			case len(args) == 0 && wanted.Tenant == "":
				return usageError(errors.New("either task ids or --tenant must be given; --class needs --tenant"))
			case len(args) > 0 && (wanted.Tenant != "" || wanted.Class != ""):
				return usageError(errors.New("task ids cannot be combined with --tenant or --class"))
			}
			a, err := q.Cancel(cmd.Context(), wanted)
			if err != nil {
				return flags.fail(cmd, "", err)
			}
			return flags.write(cmd.OutOrStdout(), a, func(w io.Writer) {
				fmt.Fprintf(w, "%d cancelled\n", a.Cancelled)
				if len(a.Unknown) > 0 {
					fmt.Fprintf(w, "these do not exist: %s\n", strings.Join(a.Unknown, ", "))
				}
			})
		},
	}
	flags.register(cmd)
	cmd.Flags().StringVar(&wanted.Tenant, "tenant", "", "cancel all tasks of this tenant")
	cmd.Flags().StringVar(&job, "job", "", "cancel this job")
	cmd.Flags().StringVar(&wanted.Class, "class", "", "with --tenant: only tasks of this class")
	return cmd
}
