package commander

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bamboospread/internal/wire/messenger"
)

func newExplainCommand() *cobra.Command {
	var flags operatorFlags
	cmd := &cobra.Command{
		Use:   "explain {task|vm|service|job|queue|account} NAME",
		Short: "Explain the state of a task, VM, service, job, queue or client account by the decisions that led to it",
		Example: `  bamboospread explain task lot-4711
  bamboospread explain vm worker-3
  bamboospread explain job 00000000000004d2
  bamboospread explain queue sorting
  bamboospread explain account packhouse`,
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			q, err := flags.requester()
			if err != nil {
				return err
			}
			switch args[0] {
			case "job":
				return flags.explainJob(cmd, q, args[1])
			case "queue":
				return flags.explainQueue(cmd, q, args[1])
			case "account":
				return flags.explainAccount(cmd, q, args[1])
			}
			if !slices.Contains([]string{"task", "vm", "service"}, args[0]) {
				return usageError(fmt.Errorf("kind %q: must be task, vm, service, job, queue or account", args[0]))
			}
			a, err := q.Explain(cmd.Context(), args[0], args[1])
			if err != nil {
				return flags.fail(cmd, "", err)
			}
			return flags.write(cmd.OutOrStdout(), a, func(w io.Writer) {
				fmt.Fprintln(w, a.Summary)
				writeDecisions(w, a.Decisions)
			})
		},
	}
	flags.register(cmd)
	return cmd
}

func newEventsCommand() *cobra.Command {
	var flags operatorFlags
	var above int64
	var limit int
	var follow bool
	cmd := &cobra.Command{
		Use:   "events",
		Short: "List the decisions of the cell, oldest first",
		Example: `  bamboospread events --limit 50
  bamboospread events --above 1200 --follow`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			q, err := flags.requester()
			if err != nil {
				return err
			}
			for {
				a, err := q.FindEvents(cmd.Context(), above, limit)
				if err != nil {
					return flags.fail(cmd, "", err)
				}
				if err := flags.write(cmd.OutOrStdout(), a, func(w io.Writer) { writeDecisions(w, a.Decisions) }); err != nil || !follow {
					return err
				}
				for _, d := range a.Decisions {
					above = max(above, d.Number)
				}
				select {
				case <-cmd.Context().Done():
					return nil
				case <-time.After(time.Second):
				}
			}
		},
	}
	flags.register(cmd)
	cmd.Flags().Int64Var(&above, "above", 0, "list decisions with a number above this")
	cmd.Flags().IntVar(&limit, "limit", 0, "list at most this many; 0: as many as the owner returns at once")
	cmd.Flags().BoolVar(&follow, "follow", false, "keep listing new decisions until interrupted")
	return cmd
}

func writeDecisions(w io.Writer, decisions []messenger.Decision) {
	if len(decisions) == 0 {
		return
	}
	rows := make([][]string, 0, len(decisions))
	for _, d := range decisions {
		rows = append(rows, []string{
			formatInt(d.Number), d.Time.UTC().Format("2006-01-02 15:04:05.000"), strconv.Itoa(d.Code), formatSubject(d), d.Reason, formatInputs(d),
		})
	}
	writeTable(w, rows)
}

func formatSubject(d messenger.Decision) string {
	var parts []string
	for _, p := range []struct{ kind, name string }{{"task", d.Task}, {"vm", d.VM}, {"service", d.Service}} {
		if p.name != "" {
			parts = append(parts, p.kind+" "+p.name)
		}
	}
	return orDash(strings.Join(parts, ", "))
}

func formatInputs(d messenger.Decision) string {
	parts := make([]string, 0, len(d.Inputs))
	for k, v := range d.Inputs {
		parts = append(parts, k+"="+v)
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
