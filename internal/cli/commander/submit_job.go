package commander

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/operator/handler"
	"bamboospread/internal/operator/requester"
	"bamboospread/internal/wire/messenger"
)

// maxJobBytes is the size limit of a job file. It is far above the largest job that is accepted.
const maxJobBytes = 1 << 20

// readJob reads a job from a YAML or JSON file.
func readJob(path string) (*specifier.Job, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read job: %w", err)
	}
	if len(text) > maxJobBytes {
		return nil, fmt.Errorf("job %s: %d bytes, but the limit is %d", path, len(text), maxJobBytes)
	}
	// Decoding through JSON gives job files the field names of the HTTP interface.
	encoded, err := yaml.YAMLToJSON(text)
	if err != nil {
		return nil, fmt.Errorf("job %s: %w", path, err)
	}
	var j specifier.Job
	if err := decodeStrictJSON(encoded, &j); err != nil {
		return nil, fmt.Errorf("job %s: %w", path, err)
	}
	return &j, nil
}

// newJobID returns 16 random hexadecimal digits.
func newJobID() (string, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", fmt.Errorf("generate a job id: %w", err)
	}
	return hex.EncodeToString(b[:]), nil
}

// submitJob submits the job in the file given by --job.
func (s *submitFlags) submitJob(cmd *cobra.Command, q *requester.Requester) error {
	j, err := s.readJob()
	if err != nil {
		return usageError(err)
	}
	a, err := q.SubmitJob(cmd.Context(), j)
	if err != nil {
		if requester.IsErrOutcomeUnknown(err) {
			err = fmt.Errorf("%w\nsubmit again with --id %s to resolve the outcome", err, j.ID)
		}
		return s.fail(cmd, "", err)
	}
	if s.wait {
		if a, err = s.waitForJob(cmd.Context(), q, j.ID); err != nil {
			return s.fail(cmd, "", err)
		}
	}
	if err := s.write(cmd.OutOrStdout(), a, func(w io.Writer) { writeJob(w, a) }); err != nil {
		return err
	}
	if s.wait && a.State != string(tracker.JobDone) {
		return ExitError{Code: ExitFailed, Err: fmt.Errorf("job %s ended %s", a.ID, a.State)}
	}
	return nil
}

func (s *submitFlags) readJob() (*specifier.Job, error) {
	if s.queue == "" {
		return nil, errors.New("--queue must be given")
	}
	j, err := readJob(s.job)
	if err != nil {
		return nil, err
	}
	j.Queue, j.Account = s.queue, cmp.Or(s.account, j.Account)
	if s.id != "" {
		j.ID = s.id
	}
	if j.ID == "" {
		if j.ID, err = newJobID(); err != nil {
			return nil, err
		}
	}
	return j, specifier.Check(j)
}

func (s *submitFlags) waitForJob(ctx context.Context, q *requester.Requester, id string) (handler.JobAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.waitTimeout)
	defer cancel()
	for {
		a, err := q.GetJob(ctx, id)
		if err != nil {
			return a, fmt.Errorf("wait for job %s: %w", id, err)
		}
		if tracker.JobState(a.State).Final() {
			return a, nil
		}
		select {
		case <-ctx.Done():
			return a, fmt.Errorf("job %s has not ended within %s", id, s.waitTimeout)
		case <-time.After(waitInterval):
		}
	}
}

func writeJob(w io.Writer, a handler.JobAnswer) {
	if a.State == "" {
		fmt.Fprintf(w, "job %s accepted\n", a.ID)
		return
	}
	fmt.Fprintf(w, "job %s is %s%s\n", a.ID, a.State, formatReason(a.Reason))
}

// formatReason returns the reason of a failed job to append to its state.
func formatReason(reason string) string {
	if reason == "" {
		return ""
	}
	return " (" + reason + ")"
}

// writeExplainedJob writes a job and its steps and, if runs is set, the runs with their VMs.
func writeExplainedJob(w io.Writer, a messenger.WorkExplainReply, runs bool) {
	fmt.Fprintf(w, "job %s of queue %s is %s%s: %d of %d occurrences finished (owner's epoch %d)\n", a.Job, a.Queue, a.State, formatReason(a.Reason), a.Finished, a.Occurrences, a.Epoch)
	if a.StartByMillis > 0 {
		fmt.Fprintf(w, "admitted to start its first task by %s\n", time.UnixMilli(a.StartByMillis).UTC().Format(time.RFC3339Nano))
	}
	rows := [][]string{{"OCCURRENCE", "STEP", "TASKS", "DONE", "RUNNING", "WAITING", "FAILURES", "WAIT REASON"}}
	for _, s := range a.Steps {
		rows = append(rows, []string{
			strconv.Itoa(s.Occurrence), strconv.Itoa(s.Step), strconv.Itoa(s.Tasks), strconv.Itoa(s.Done),
			strconv.Itoa(s.Running), strconv.Itoa(s.Waiting), strconv.Itoa(s.Failures), orDash(s.Reason),
		})
	}
	if len(a.Steps) > 0 {
		writeTable(w, rows)
	}
	for _, s := range a.Steps {
		for _, task := range s.Suspected {
			fmt.Fprintf(w, "task %s is suspected of having crashed the worker of a VM\n", task)
		}
	}
	if !runs {
		return
	}
	rows = [][]string{{"TASK", "RUN", "VM", "STATE"}}
	for _, s := range a.Steps {
		for _, r := range s.Runs {
			rows = append(rows, []string{r.Task, formatInt(r.Run), r.VM, r.State})
		}
	}
	if len(rows) > 1 {
		writeTable(w, rows)
	}
}

// decodeStrictJSON decodes text into v and rejects unknown fields.
func decodeStrictJSON(text []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	return d.Decode(v)
}
