package commander

import (
	"fmt"
	"io"
	"strconv"

	"github.com/spf13/cobra"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/fleet/differ"
	"bamboospread/internal/wire/messenger"
)

func newStatusCommand() *cobra.Command {
	var flags operatorFlags
	var options messenger.FindTasksOptions
	var state string
	var tasks bool
	var job, queue string
	cmd := &cobra.Command{
		Use:   "status [TASK ...]",
		Short: "Show the state of the cell, of tasks or of a job",
		Long: `Show the state of the cell: its owner, VMs, zones and counts of tasks. With ids,
--tasks or a filter, show tasks. With --job, show a job and its steps; with
--queue, how many of its jobs have not started.`,
		Example: `  bamboospread status
  bamboospread status lot-4711
  bamboospread status --job 00000000000004d2
  bamboospread status --tenant packhouse --state queued`,
		RunE: func(cmd *cobra.Command, args []string) error {
			q, err := flags.requester()
			if err != nil {
				return err
			}
			if job != "" {
				return flags.showJobStatus(cmd, q, job)
			}
			if queue != "" {
				return flags.showQueueStatus(cmd, q, queue)
			}
			options.IDs, options.State = args, messenger.TaskState(state)
			if !tasks && len(args) == 0 && options.Tenant+options.Class+options.VM+state == "" {
				s, err := q.GetStatus(cmd.Context())
				if err != nil {
					return flags.fail(cmd, "", err)
				}
				return flags.write(cmd.OutOrStdout(), s, func(w io.Writer) { writeStatus(w, s) })
			}
			found, err := q.FindTasks(cmd.Context(), options)
			if err != nil {
				return flags.fail(cmd, "", err)
			}
			return flags.write(cmd.OutOrStdout(), found, func(w io.Writer) { writeTasks(w, found.Tasks) })
		},
	}
	flags.register(cmd)
	f := cmd.Flags()
	f.StringVar(&job, "job", "", "show this job and its steps")
	f.StringVar(&queue, "queue", "", "show how many jobs of this queue have not started")
	f.BoolVar(&tasks, "tasks", false, "show tasks")
	f.StringVar(&options.Tenant, "tenant", "", "show tasks of this tenant")
	f.StringVar(&options.Class, "class", "", "show tasks of this class")
	f.StringVar(&options.VM, "vm", "", "show tasks on this VM")
	f.StringVar(&state, "state", "", "show tasks in this state: queued, starting, running, stopping, completed, cancelled or held")
	f.IntVar(&options.Limit, "limit", 0, "show at most this many tasks; 0: 1000")
	return cmd
}

func writeStatus(w io.Writer, s messenger.Status) {
	store := "reached"
	if !s.StoreReached {
		store = "not reached"
	}
	fmt.Fprintf(w, "cell %s, owner %s (epoch %d), fleet version %d, store %s\n", s.Cell, orDash(s.Owner), s.Epoch, s.FleetVersion, store)
	fmt.Fprint(w, "tasks:")
	for _, state := range []messenger.TaskState{
		messenger.TaskQueued, messenger.TaskStarting, messenger.TaskRunning, messenger.TaskStopping,
		messenger.TaskCompleted, messenger.TaskCancelled, messenger.TaskHeld,
	} {
		fmt.Fprintf(w, " %d %s", s.Tasks[state], state)
	}
	fmt.Fprintln(w)
	rows := [][]string{{"ZONE", "STATE", "VMS", "TASKS"}}
	for _, z := range s.Zones {
		rows = append(rows, []string{z.Name, string(z.State), strconv.Itoa(z.VMs), strconv.Itoa(z.Tasks)})
	}
	writeTable(w, rows)
	rows = [][]string{{"VM", "ZONE", "RACK", "PROCESSORS", "MEMORY", "ACCELERATORS", "TASKS", "STATE"}}
	for _, v := range s.VMs {
		rows = append(rows, []string{
			v.VM, v.Zone, v.Rack, formatCommitted(v.Committed.Millicores, v.Total.Millicores, formatProcessors),
			formatCommitted(v.Committed.MemoryBytes, v.Total.MemoryBytes, differ.Memory),
			formatCommitted(v.Committed.Accelerators, v.Total.Accelerators, formatInt), strconv.Itoa(v.Tasks), vmState(v),
		})
	}
	writeTable(w, rows)
}

func formatCommitted(committed, total int64, format func(int64) string) string {
	return format(committed) + "/" + format(total)
}

func formatProcessors(millicores int64) string {
	return strconv.FormatFloat(float64(millicores)/1000, 'f', -1, 64)
}

func formatInt(v int64) string { return strconv.FormatInt(v, 10) }

func vmState(v messenger.VMStatus) string {
	switch {
	case v.Quarantined != "":
		return "quarantined: " + v.Quarantined
	case !v.Reachable:
		return "unreachable"
	}
	return "ready"
}

func writeTasks(w io.Writer, tasks []messenger.Task) {
	rows := [][]string{{"TASK", "TENANT", "CLASS", "STATE", "VM", "ZONE", "ATTEMPT", "FAILURES", "EVICTIONS", "NEEDS", "REASON"}}
	for _, t := range tasks {
		rows = append(rows, []string{
			t.Spec.ID, t.Spec.Tenant, t.Spec.Class, string(t.State), orDash(t.VM), orDash(t.Zone),
			formatInt(t.Attempt), strconv.Itoa(t.Failures), strconv.Itoa(t.Evictions), formatNeeds(t.Spec.Needs), t.Reason,
		})
	}
	writeTable(w, rows)
}

func formatNeeds(r describer.Resources) string {
	return formatProcessors(r.Millicores) + "/" + differ.Memory(r.MemoryBytes) + "/" + formatInt(r.Accelerators)
}
