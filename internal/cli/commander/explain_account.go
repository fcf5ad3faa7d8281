package commander

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/operator/requester"
	"bamboospread/internal/wire/messenger"
)

// explainAccount writes the standing of a client account.
func (f *operatorFlags) explainAccount(cmd *cobra.Command, q *requester.Requester, name string) error {
	a, err := q.ExplainAccount(cmd.Context(), name)
	if err != nil {
		return f.fail(cmd, "", err)
	}
	return f.write(cmd.OutOrStdout(), a, func(w io.Writer) { writeExplainedAccount(w, a) })
}

func writeExplainedAccount(w io.Writer, a messenger.WorkAccountReply) {
	note := ""
	if !a.Defined {
		note = " (defaults: it has no settings)"
	}
	fmt.Fprintf(w, "account %s: weight %s, quota %s%s; it holds %s in %d open jobs (owner's epoch %d)\n",
		a.Account, strconv.FormatFloat(a.Weight, 'g', -1, 64), formatQuota(a.Quota), note, formatHeld(a.Held), a.Jobs, a.Epoch)
	if !a.Shared {
		fmt.Fprintln(w, "shares are not asked for: load control does not include them")
		return
	}
	rows := [][]string{{"PRIORITY", "TASKS", "SHARE", "USE", "RECENT", "WANTS", "WAITING", "LONGEST", "PRECEDENCE", "FAR ABOVE FOR", "AHEAD", "BEHIND"}}
	for _, r := range a.Rows {
		kind := "that end"
		if r.LongRunning {
			kind = "long-running"
		}
		far := "-"
		if r.FarMillis > 0 {
			far = formatMillis(r.FarMillis)
		}
		rows = append(rows, []string{
			strconv.Itoa(r.Priority), kind, formatPart(r.Share), formatPart(r.Use), formatPart(r.Recent), formatPart(r.Wants), strconv.Itoa(r.Waiting),
			formatMillis(r.LongestMillis), strconv.FormatFloat(r.Precedence, 'g', -1, 64), far, orDash(strings.Join(r.Ahead, " ")), orDash(strings.Join(r.Behind, " ")),
		})
	}
	if len(a.Rows) == 0 {
		fmt.Fprintln(w, "it holds nothing and wants nothing")
		return
	}
	writeTable(w, rows)
	for _, r := range a.Rows {
		if r.AtQuota {
			fmt.Fprintf(w, "at priority %d its quota keeps %d tasks from starting\n", r.Priority, r.Waiting)
		}
	}
}

func formatMillis(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

// formatPart formats a part of the cell in percent.
func formatPart(part float64) string { return strconv.FormatFloat(100*part, 'f', 1, 64) + "%" }

func formatQuota(r specifier.Resources) string {
	if r == (specifier.Resources{}) {
		return "none"
	}
	return formatHeld(r)
}

func formatHeld(r specifier.Resources) string {
	parts := []string{strconv.FormatFloat(float64(r.CPUMillis)/1000, 'f', -1, 64) + " cores", formatInt(r.MemoryMB) + " MB"}
	if r.GPUs > 0 {
		parts = append(parts, formatInt(r.GPUs)+" accelerators")
	}
	return strings.Join(parts, " and ")
}
