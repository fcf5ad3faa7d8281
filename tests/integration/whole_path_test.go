package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/operator/requester"
	"bamboospread/internal/wire/messenger"
	"bamboospread/tests/harness"
)

// runJSON runs a command with --output json and decodes its output.
func runJSON[T any](t *testing.T, k *harness.Cluster, args ...string) T {
	t.Helper()
	entries := make([]string, 0, len(k.Entries))
	for _, e := range k.Entries {
		entries = append(entries, e.HTTP)
	}
	out, code := harness.Run(t, append(args, "--output", "json", "--entries", strings.Join(entries, ","))...)
	var v T
	if err := json.Unmarshal([]byte(out), &v); err != nil || code != 0 {
		t.Fatalf("%v: exit code %d, %v: %s", args, code, err, out)
	}
	return v
}

// post sends a request through an entry and returns the outcome and the body.
func post(ctx context.Context, e *harness.Entry, id, body string) (string, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.HTTP+"/v1/services/labelling/print", strings.NewReader(body))
	if err != nil {
		return "", "", err
	}
	r.Header.Set("Idempotency-Key", id)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", resp.Status, data)
	}
	return resp.Header.Get("Bamboospread-Outcome"), string(data), err
}

// The first steps of a new user, with separate processes: apply a fleet text, send
// requests through both entries, submit a label batch. Upstreams are not configured
// anywhere. The worker's record must show that the batch ran once, and the upstreams'
// records that each request ran once.
func TestWholePath(t *testing.T) {
	t.Parallel()
	k := harness.New(t, harness.Config{})
	file := filepath.Join(t.TempDir(), "fleet.yaml")
	if err := os.WriteFile(file, []byte(harness.FleetText), 0o600); err != nil {
		t.Fatal(err)
	}
	runJSON[json.RawMessage](t, k, "apply", file, "--base", "0")

	for i, e := range k.Entries {
		body := fmt.Sprintf("label %d", i)
		harness.WaitFor(t, 15*time.Second, "answer through "+e.Name, func(ctx context.Context) error {
			outcome, answer, err := post(ctx, e, body, body)
			if err == nil && (outcome != string(messenger.OutcomeRun) || answer != body) {
				t.Fatalf("outcome %q, answer %q to %q", outcome, answer, body)
			}
			return err
		})
	}
	ran := make(map[string]int)
	for _, run := range k.Runs() {
		if run.Phase == "begin" {
			ran[run.IdempotencyKey]++
		}
	}
	if len(ran) != 2 || ran["label 0"] != 1 || ran["label 1"] != 1 {
		t.Errorf("upstreams ran %v", ran)
	}

	runJSON[json.RawMessage](t, k, "submit", "--tenant", "packhouse", "--class", "label-batch", "--id", "lot-1", "--wait", "--wait-timeout", "30s")
	if starts := harness.CountStarts(k.TaskEvents()); len(starts) != 1 || starts["lot-1"] != 1 {
		t.Errorf("workers started %v", starts)
	}
	q := requester.New(requester.Config{Entries: []string{k.Entries[1].HTTP}})
	if task, err := q.GetTask(t.Context(), "lot-1"); err != nil || task.State != messenger.TaskCompleted {
		t.Errorf("task %+v, %v", task, err)
	}
	if s := runJSON[messenger.Status](t, k, "status"); s.Tasks[messenger.TaskCompleted] != 1 || len(s.VMs) != len(k.VMs) || s.Owner == "" {
		t.Errorf("status %+v", s)
	}
	if explanation := runJSON[messenger.ExplainReply](t, k, "explain", "task", "lot-1"); len(explanation.Decisions) < 2 {
		t.Errorf("explain %+v", explanation)
	}
	for _, p := range []*harness.Process{k.VMs[0].Upstream, k.VMs[0].Agent, k.Entries[0].Process, k.Entries[1].Process} {
		if err := p.Terminate(20 * time.Second); err != nil {
			t.Errorf("graceful stop of %s: %v", p.Name, err)
		}
	}
}
