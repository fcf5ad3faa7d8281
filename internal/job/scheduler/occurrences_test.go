package scheduler

import (
	"fmt"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// Guards against tasks of recurring jobs that run twice after an outage of the store: the owner goes on to open
// occurrences and start their tasks, which the next owner does not find in the store.
func TestTasksOfOccurrencesRunOnceAfterOutage(t *testing.T) {
	tests := []struct {
		name   string
		tasks  int           // of each occurrence
		outage time.Duration // of writes, before the owner is replaced
	}{
		{"of a tenth of a second", 1, 100 * time.Millisecond},
		{"of some seconds", 1, 3 * time.Second},
		{"of a job with several tasks", 8, 3 * time.Second},
		{"of a job with as many tasks as are allowed", 2500, 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newReplay(t, 0)
			starts, done := make(map[string]int), make(map[string]bool)
			r.startFault = func(task string) startFault {
				if starts[task]++; done[task] || starts[task] > 1 {
					t.Fatalf("task %s starts %d times", task, starts[task])
				}
				return noFault
			}
			const occurrences = 6000
			r.submitJob(&specifier.Job{
				ID: fmt.Sprintf("%016x", 1), Queue: "urgent", Occurrences: occurrences, FirstMillis: r.now.UnixMilli(), IntervalMillis: 1,
				Steps: []specifier.Step{{Count: tt.tasks, Needs: specifier.Resources{CPUMillis: 100, MemoryMB: 10}, EstimateMillis: 400}},
			})
			recordDone := func(d time.Duration) {
				r.runUntil(d, func() bool {
					for _, a := range r.agents {
						for _, e := range a.report.Ends {
							done[e.Task] = done[e.Task] || e.Outcome == string(tracker.EndDone)
						}
					}
					return false
				})
			}
			recordDone(700 * time.Millisecond)
			r.store.down = true
			recordDone(tt.outage)
			r.owner = nil
			r.store.down = false
			r.takeOver()
			recordDone(2 * time.Second)
			if len(done) == 0 || len(starts) <= len(done)/2 {
				t.Errorf("%d tasks have started, %d are done", len(starts), len(done))
			}
		})
	}
}
