package commander

import (
	"fmt"
	"io"
	"strconv"

	"github.com/spf13/cobra"

	"bamboospread/internal/operator/requester"
	"bamboospread/internal/wire/messenger"
)

// explainQueue writes the load of a queue.
func (f *operatorFlags) explainQueue(cmd *cobra.Command, q *requester.Requester, name string) error {
	a, err := q.ExplainQueue(cmd.Context(), name)
	if err != nil {
		return f.fail(cmd, "", err)
	}
	return f.write(cmd.OutOrStdout(), a, func(w io.Writer) { writeExplainedQueue(w, a) })
}

func writeExplainedQueue(w io.Writer, a messenger.WorkQueueReply) {
	fmt.Fprintf(w, "queue %s of priority %d: %d open jobs, %d not started (owner's epoch %d)\n", a.Queue, a.Priority, a.Jobs, a.NotStarted, a.Epoch)
	fmt.Fprintf(w, "running: %d tasks on %s cores; waiting for capacity: %d tasks, %s core-seconds, for up to %s; waiting for earlier steps: %d tasks\n",
		a.RunningTasks, formatNumber(a.RunningCores), a.WaitingTasks, formatNumber(a.Backlog), formatMillis(a.LongestMillis), a.BlockedTasks)
	if a.Oldest != "" {
		fmt.Fprintf(w, "step %s has waited longest: %s\n", a.Oldest, a.Reason)
	}
	if d := a.Admission; d != nil {
		switch {
		case d.Drain == 0:
			fmt.Fprintln(w, "admission: the drain is not known, since no work has waited for long enough; every job is accepted")
		case !d.Refusing:
			fmt.Fprintf(w, "admission: the drain is %s core-seconds a second, but an entry takes no part; every job is accepted\n", formatNumber(d.Drain))
		default:
			fmt.Fprintf(w, "admission: the drain is %s core-seconds a second; the last job of the backlog waits for %s\n", formatNumber(d.Drain), formatMillis(d.WaitMillis))
		}
	}
	if f := a.Forecast; f != nil {
		note := ""
		if !f.Trusted {
			note = "; it is not used, since earlier forecasts were too far off"
		}
		fmt.Fprintf(w, "urgent demand: %s cores now, %s forecast with a standard deviation of %s, %s reserved; mean error so far %s%s\n",
			formatNumber(f.Present), formatNumber(f.Mean), formatNumber(f.Error), formatNumber(f.Reserve), formatPart(f.MeanError), note)
	}
	if len(a.Accounts) == 0 {
		return
	}
	rows := [][]string{{"ACCOUNT", "WAITING", "CORE-SECONDS", "LONGEST"}}
	for _, r := range a.Accounts {
		rows = append(rows, []string{r.Account, strconv.Itoa(r.WaitingTasks), formatNumber(r.Backlog), formatMillis(r.LongestMillis)})
	}
	writeTable(w, rows)
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
