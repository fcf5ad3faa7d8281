package commander

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"bamboospread/internal/operator/requester"
)

// showJobStatus shows a job and its steps as its owner reports them.
func (o *operatorFlags) showJobStatus(cmd *cobra.Command, q *requester.Requester, id string) error {
	a, err := q.ExplainJob(cmd.Context(), id)
	if err != nil {
		return o.fail(cmd, "", err)
	}
	return o.write(cmd.OutOrStdout(), a, func(w io.Writer) { writeExplainedJob(w, a, false) })
}

// showQueueStatus shows how many jobs of a queue have not started.
func (o *operatorFlags) showQueueStatus(cmd *cobra.Command, q *requester.Requester, queue string) error {
	a, err := q.CountQueue(cmd.Context(), queue)
	if err != nil {
		return o.fail(cmd, "", err)
	}
	return o.write(cmd.OutOrStdout(), a, func(w io.Writer) { fmt.Fprintf(w, "queue %s: %d jobs have not started\n", a.Queue, a.Pending) })
}

// cancelJob cancels a job. It is idempotent.
func (o *operatorFlags) cancelJob(cmd *cobra.Command, q *requester.Requester, id string) error {
	a, err := q.CancelJob(cmd.Context(), id)
	if err != nil {
		return o.fail(cmd, "", err)
	}
	return o.write(cmd.OutOrStdout(), a, func(w io.Writer) { fmt.Fprintf(w, "job %s is cancelled\n", a.ID) })
}

// explainJob shows a job with its steps, its runs and the reasons why tasks wait.
func (o *operatorFlags) explainJob(cmd *cobra.Command, q *requester.Requester, id string) error {
	a, err := q.ExplainJob(cmd.Context(), id)
	if err != nil {
		return o.fail(cmd, "", err)
	}
	return o.write(cmd.OutOrStdout(), a, func(w io.Writer) { writeExplainedJob(w, a, true) })
}
