package harness

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"sort"
	"testing"

	"bamboospread/internal/standin/responder"
	"bamboospread/internal/standin/worker"
)

// TaskEvents returns the starts and ends of tasks that all workers recorded,
// ordered by time.
func (k *Cluster) TaskEvents() []worker.Event {
	k.t.Helper()
	var all []worker.Event
	for _, vm := range k.VMs {
		all = append(all, readLines[worker.Event](k.t, k.witnessFile("tasks", vm.Name))...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time.Before(all[j].Time) })
	return all
}

// Runs returns the requests that all upstreams recorded, ordered by time.
func (k *Cluster) Runs() []responder.Run {
	k.t.Helper()
	var all []responder.Run
	for _, vm := range k.VMs {
		all = append(all, readLines[responder.Run](k.t, k.witnessFile("runs", vm.Name))...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time.Before(all[j].Time) })
	return all
}

// CountStarts returns how often each task was started.
func CountStarts(events []worker.Event) map[string]int {
	starts := make(map[string]int)
	for _, e := range events {
		if e.Event == worker.EventStart {
			starts[e.Task]++
		}
	}
	return starts
}

func readLines[T any](t testing.TB, path string) []T {
	t.Helper()
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		t.Fatal(err)
	}
	data = data[:bytes.LastIndexByte(data, '\n')+1] // the last line may be incomplete
	var all []T
	for line := range bytes.Lines(data) {
		var v T
		if err := json.Unmarshal(line, &v); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		all = append(all, v)
	}
	return all
}
