package commander

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"bamboospread/internal/operator/requester"
)

// statusOfJob shows a job and its steps as its owner knows them.
func (f *operatorFlags) statusOfJob(cmd *cobra.Command, q *requester.Requester, id string) error {
	a, err := q.ExplainJob(cmd.Context(), id)
	if err != nil {
		return f.fail(cmd, "", err)
	}
	return f.write(cmd.OutOrStdout(), a, func(w io.Writer) { writeExplainedJob(w, a, false) })
}

// statusOfQueue shows how many jobs of a queue have not started.
func (f *operatorFlags) statusOfQueue(cmd *cobra.Command, q *requester.Requester, queue string) error {
	a, err := q.CountQueue(cmd.Context(), queue)
	if err != nil {
		return f.fail(cmd, "", err)
	}
	return f.write(cmd.OutOrStdout(), a, func(w io.Writer) { fmt.Fprintf(w, "queue %s: %d jobs have not started\n", a.Queue, a.Pending) })
}

// cancelJob cancels a job; repeating it is harmless.
func (f *operatorFlags) cancelJob(cmd *cobra.Command, q *requester.Requester, id string) error {
	a, err := q.CancelJob(cmd.Context(), id)
	if err != nil {
		return f.fail(cmd, "", err)
	}
	return f.write(cmd.OutOrStdout(), a, func(w io.Writer) { fmt.Fprintf(w, "job %s is cancelled\n", a.ID) })
}

// explainJob shows a job with its steps, its runs and why tasks wait.
func (f *operatorFlags) explainJob(cmd *cobra.Command, q *requester.Requester, id string) error {
	a, err := q.ExplainJob(cmd.Context(), id)
	if err != nil {
		return f.fail(cmd, "", err)
	}
	return f.write(cmd.OutOrStdout(), a, func(w io.Writer) { writeExplainedJob(w, a, true) })
}
