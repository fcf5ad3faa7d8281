package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/fleet/parser"
	"bamboospread/internal/operator/handler"
	"bamboospread/internal/operator/requester"
	"bamboospread/internal/wire/messenger"
)

const (
	waitInterval = 250 * time.Millisecond
	// tasksPerRequest limits the size of requests and of the owner's messages.
	tasksPerRequest = 500
)

// submitFlags are the flags of the submit command.
type submitFlags struct {
	operatorFlags
	tenant, class, id, idPrefix, payload string
	queue, job, account                  string
	count                                int
	processors, memory                   string
	accelerators                         int64
	runTime                              time.Duration
	urgent, wait                         bool
	waitTimeout                          time.Duration
}

// submitAnswer is the output of submit.
type submitAnswer struct {
	Accepted int                      `json:"accepted"`
	Refused  int                      `json:"refused"`
	Results  []messenger.SubmitResult `json:"verdicts"`
	Tasks    []messenger.Task         `json:"tasks,omitempty"` // with --wait: how they ended
}

func newSubmitCommand() *cobra.Command {
	var flags submitFlags
	cmd := &cobra.Command{
		Use:   "submit",
		Short: "Submit tasks or a job",
		Long: `Submit one task or several of one class. A task is identified by its id, so that
submitting it again is safe. After an unknown outcome run the same command again
with the same id or id prefix.

With --job, submit a job of dependent steps to a queue of the fleet text; the file
is YAML or JSON; see examples/jobs/labels.yaml. The id of a job is 16 hexadecimal digits.`,
		Example: `  bamboospread submit --tenant packhouse --class label-batch --id lot-4711 --payload "dasheen 4711"
  bamboospread submit --tenant packhouse --class sorting-run --count 20 --id-prefix monday --wait
  bamboospread submit --queue sorting --job examples/jobs/labels.yaml --id 00000000000004d2 --wait`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			q, err := flags.requester()
			if err != nil {
				return err
			}
			if flags.job != "" {
				return flags.submitJob(cmd, q)
			}
			specs, err := flags.specs()
			if err != nil {
				return usageError(err)
			}
			return flags.submitTasks(cmd, q, specs)
		},
	}
	flags.registerSubmit(cmd)
	return cmd
}

func (s *submitFlags) registerSubmit(cmd *cobra.Command) {
	s.register(cmd)
	f := cmd.Flags()
	f.StringVar(&s.tenant, "tenant", "", "tenant that owns the tasks")
	f.StringVar(&s.class, "class", "", "task class")
	f.StringVar(&s.job, "job", "", "file with a job, instead of tasks of a class")
	f.StringVar(&s.queue, "queue", "", "queue to which the job is submitted")
	f.StringVar(&s.account, "account", "", "client account (tenant) of the job, overriding the file; default: the availability zone of the entry")
	f.IntVar(&s.count, "count", 1, "number of tasks")
	f.StringVar(&s.id, "id", "", "id of the single task or of the job")
	f.StringVar(&s.idPrefix, "id-prefix", "", "ids are PREFIX-1, PREFIX-2, ... (default: a random prefix)")
	f.StringVar(&s.payload, "payload", "", "payload, passed to the worker unchanged")
	f.StringVar(&s.processors, "processors", "", "processors, overriding the class")
	f.StringVar(&s.memory, "memory", "", "memory, overriding the class")
	f.Int64Var(&s.accelerators, "accelerators", 0, "accelerators; needs --processors and --memory")
	f.DurationVar(&s.runTime, "run-time", 0, "declared run time, overriding the class")
	f.BoolVar(&s.urgent, "urgent", false, "start before other tasks of the tenant")
	f.BoolVar(&s.wait, "wait", false, "wait until all tasks have ended")
	f.DurationVar(&s.waitTimeout, "wait-timeout", 10*time.Minute, "time limit of --wait")
}

// specs returns the tasks to submit, or one error that lists all invalid flags.
func (s *submitFlags) specs() ([]messenger.TaskSpec, error) {
	var errs []error
	if s.tenant == "" {
		errs = append(errs, errors.New("--tenant must be given"))
	}
	if s.class == "" {
		errs = append(errs, errors.New("--class must be given"))
	}
	if s.count < 1 || s.count > handler.MaxTasks {
		errs = append(errs, fmt.Errorf("--count %d: must be from 1 to %d", s.count, handler.MaxTasks))
	}
	if s.id != "" && (s.count > 1 || s.idPrefix != "") {
		errs = append(errs, errors.New("--id is for a single task; use --id-prefix"))
	}
	needs, err := s.needs()
	if err = errors.Join(append(errs, err)...); err != nil {
		return nil, err
	}
	specs := make([]messenger.TaskSpec, s.count)
	for i, id := range s.ids() {
		specs[i] = messenger.TaskSpec{
			ID: id, Tenant: s.tenant, Class: s.class, Needs: needs,
			RunTimeMillis: messenger.Millis(s.runTime), Urgent: s.urgent, Payload: s.payload,
		}
	}
	return specs, nil
}

func (s *submitFlags) ids() []string {
	if s.id != "" {
		return []string{s.id}
	}
	if s.idPrefix == "" {
		var random changeIDFlag
		s.idPrefix = s.class + "-" + random.get()[:10]
	}
	ids := make([]string, s.count)
	for i := range ids {
		ids[i] = fmt.Sprintf("%s-%d", s.idPrefix, i+1)
	}
	return ids
}

func (s *submitFlags) needs() (describer.Resources, error) {
	if s.processors == "" && s.memory == "" && s.accelerators == 0 {
		return describer.Resources{}, nil
	}
	var errs []error
	millicores, err := parser.ParseProcessors(s.processors)
	if err != nil || millicores <= 0 {
		errs = append(errs, fmt.Errorf("--processors %q: must be a number of processors above 0, such as 2, 0.5 or 500m", s.processors))
	}
	memory, err := parser.ParseMemory(s.memory)
	if err != nil || memory <= 0 {
		errs = append(errs, fmt.Errorf("--memory %q: must be a size above 0, such as 512MiB or 8GB", s.memory))
	}
	if s.accelerators < 0 {
		errs = append(errs, fmt.Errorf("--accelerators %d: must be 0 or more", s.accelerators))
	}
	return describer.Resources{Millicores: millicores, MemoryBytes: memory, Accelerators: s.accelerators}, errors.Join(errs...)
}

func (s *submitFlags) submitTasks(cmd *cobra.Command, q *requester.Requester, specs []messenger.TaskSpec) error {
	var a submitAnswer
	for chunk := range slices.Chunk(specs, tasksPerRequest) {
		reply, err := q.Submit(cmd.Context(), chunk)
		if err != nil {
			if len(a.Results) > 0 || requester.IsErrOutcomeUnknown(err) {
				err = fmt.Errorf("%w\nthe outcome of %d of %d tasks is known; submit again with the same --id or --id-prefix (%s) to resolve the rest", err, len(a.Results), len(specs), specs[0].ID)
			}
			return s.fail(cmd, "", err)
		}
		a.add(reply)
	}
	if s.wait && a.Accepted > 0 {
		tasks, err := s.waitForTasks(cmd.Context(), q, a.Results)
		if err != nil {
			return s.fail(cmd, "", err)
		}
		a.Tasks = tasks
	}
	if err := s.write(cmd.OutOrStdout(), a, func(w io.Writer) { writeSubmitted(w, a) }); err != nil {
		return err
	}
	return a.err()
}

func (a *submitAnswer) add(r messenger.SubmitReply) {
	a.Results = append(a.Results, r.Results...)
	for _, v := range r.Results {
		if v.Accepted {
			a.Accepted++
		} else {
			a.Refused++
		}
	}
}

// err returns an error if a task was refused or, with --wait, did not complete.
func (a *submitAnswer) err() error {
	bad := a.Refused
	for _, t := range a.Tasks {
		if t.State != messenger.TaskCompleted {
			bad++
		}
	}
	if bad == 0 {
		return nil
	}
	return ExitError{Code: ExitFailed, Err: fmt.Errorf("%d of %d tasks were refused or did not complete", bad, len(a.Results))}
}

// isFinal reports whether a task in state s makes no further progress without a command.
func isFinal(s messenger.TaskState) bool {
	return s == messenger.TaskCompleted || s == messenger.TaskCancelled || s == messenger.TaskHeld
}

// waitForTasks polls the accepted tasks until all have ended.
func (s *submitFlags) waitForTasks(ctx context.Context, q *requester.Requester, results []messenger.SubmitResult) ([]messenger.Task, error) {
	ctx, cancel := context.WithTimeout(ctx, s.waitTimeout)
	defer cancel()
	var pending []string
	for _, v := range results {
		if v.Accepted {
			pending = append(pending, v.ID)
		}
	}
	var ended []messenger.Task
	for len(pending) > 0 {
		batch := pending[:min(len(pending), tasksPerRequest)]
		reply, err := q.FindTasks(ctx, messenger.FindTasksOptions{IDs: batch, Limit: len(batch)})
		if err != nil {
			return nil, fmt.Errorf("wait for %d tasks: %w", len(pending), err)
		}
		for _, t := range reply.Tasks {
			if isFinal(t.State) {
				ended = append(ended, t)
				pending = slices.DeleteFunc(pending, func(id string) bool { return id == t.Spec.ID })
			}
		}
		if len(pending) == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%d tasks have not ended within %s", len(pending), s.waitTimeout)
		case <-time.After(waitInterval):
		}
	}
	return ended, nil
}

func writeSubmitted(w io.Writer, a submitAnswer) {
	fmt.Fprintf(w, "%d accepted, %d refused\n", a.Accepted, a.Refused)
	rows := [][]string{{"TASK", "STATE", "REASON"}}
	for _, v := range a.Results {
		if !v.Accepted || v.Reason != "" {
			state := string(v.State)
			if !v.Accepted {
				state = "refused"
			}
			rows = append(rows, []string{v.ID, state, v.Reason})
		}
	}
	counts := make(map[messenger.TaskState]int)
	for _, t := range a.Tasks {
		counts[t.State]++
		if t.State != messenger.TaskCompleted {
			rows = append(rows, []string{t.Spec.ID, string(t.State), t.Reason})
		}
	}
	if len(rows) > 1 {
		writeTable(w, rows)
	}
	if len(a.Tasks) > 0 {
		fmt.Fprintf(w, "%d completed, %d cancelled, %d held\n", counts[messenger.TaskCompleted], counts[messenger.TaskCancelled], counts[messenger.TaskHeld])
	} else if len(a.Results) > 0 {
		fmt.Fprintf(w, "first id %s, last id %s\n", a.Results[0].ID, a.Results[len(a.Results)-1].ID)
	}
}
