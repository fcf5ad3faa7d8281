package tracker

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/worker/attributor"
)

// manyCrashes returns crashes as a task may have at most before it is given up.
func manyCrashes(n int) (crashes []attributor.Crash) {
	for i := range n {
		crashes = append(crashes, attributor.Crash{Run: int64(1_000_001 + i), VM: fmt.Sprintf("i-%08x", i), AgeMillis: 20_000, AtMillis: begin.UnixMilli(), Likely: true, Sole: true})
	}
	return crashes
}

// noteEverything gives each task all that can be noted of it.
func noteEverything(tasks []*Task) {
	for _, t := range tasks {
		t.HasRun, t.WaitSince = true, begin
		t.SetCrashes(manyCrashes(attributor.CrashesToGiveUp))
		t.Checkpoint = strings.Repeat("x", 100)
		for n := range 9 {
			t.SetFailed(append(t.Failed(), int64(1_000_001+n)))
		}
	}
}

// Guards against a job whose progress is never stored, and that keeps other jobs from being stored, because of
// all that is noted of its tasks.
func TestRecordOfLargestJobsFitsInStore(t *testing.T) {
	repeated := func(n int, s specifier.Step) []specifier.Step { return slices.Repeat([]specifier.Step{s}, n) }
	tests := []struct {
		name        string
		steps       []specifier.Step
		occurrences int
	}{
		{"one step", repeated(1, specifier.Step{Count: specifier.MaxTasks}), 0},
		{"many steps", repeated(specifier.MaxSteps, specifier.Step{Count: specifier.MaxTasks / specifier.MaxSteps}), 0},
		{"long-running tasks", repeated(2, specifier.Step{Count: specifier.MaxTasks / 2, LongRunning: true}), 0},
		{"many occurrences", repeated(1, specifier.Step{Count: 20}), 5000},
		{"many occurrences of many steps", repeated(20, specifier.Step{Count: 1, LongRunning: true}), 5000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 10)
			spec := &specifier.Job{ID: jobID(1), Queue: "q", Steps: tt.steps, Occurrences: tt.occurrences, FirstMillis: begin.Add(-time.Hour).UnixMilli(), IntervalMillis: 1}
			for i := range spec.Steps {
				spec.Steps[i].Checkpoints = true
			}
			if err := specifier.Check(spec); err != nil {
				t.Fatal(err)
			}
			tr.AddJob(spec, time.Time{}, begin)
			j, done := tr.Jobs[spec.ID], 0
			for _, o := range j.Occurrences {
				for _, s := range o.Steps {
					noteEverything(s.Tasks)
					if n := s.Tasks[0]; !s.Spec.LongRunning && !s.Finished() {
						n.Done = true
						s.Done++
						done++
					}
				}
			}
			record, err := j.Encode(MaxRecordBytes)
			if err != nil {
				t.Fatal(err)
			}
			if len(record.Value) > MaxRecordBytes || MaxRecordBytes > keeper.MaxValueBytes {
				t.Errorf("the record has %d bytes, want at most %d", len(record.Value), MaxRecordBytes)
			}
			if !record.Omitted.Any() {
				t.Error("nothing is reported as left out")
			}
			restored := storedProgress{spec.ID: record.Value}.takeOver(t, spec, at(10)).Jobs[spec.ID]
			got := 0
			for _, o := range restored.Occurrences {
				for _, s := range o.Steps {
					got += s.Done
				}
			}
			if got != done || len(restored.Occurrences) != len(j.Occurrences) || restored.Next != j.Next {
				t.Errorf("%d tasks of %d occurrences are done at the next owner, want %d of %d", got, len(restored.Occurrences), done, len(j.Occurrences))
			}
		})
	}
}

// Guards against a next owner that gives tasks the most attempts that were closest to their limits, because a
// record that is too large lacks notes on them.
func TestNotesThatMatterMostAreKept(t *testing.T) {
	tr := newState(t, 10)
	j := addJob(t, tr, 1, specifier.Step{Count: specifier.MaxTasks})
	tasks := j.Occurrences[0].Steps[0].Tasks
	for _, t := range tasks {
		t.SetFailed([]int64{1_000_001, 1_000_002, 1_000_003})
		t.SetCrashes(manyCrashes(1))
	}
	last := tasks[len(tasks)-1]
	last.SetFailed(append(last.Failed(), 1_000_004))
	last.SetCrashes(manyCrashes(2))
	record, err := j.Encode(MaxRecordBytes)
	if err != nil {
		t.Fatal(err)
	}
	if record.Omitted.Failed != 0 || record.Omitted.Crashes == 0 {
		t.Errorf("left out: %+v, want crashes alone", record.Omitted)
	}
	next := storedProgress{j.Spec.ID: record.Value}.takeOver(t, j.Spec, at(10))
	if got := next.Find(last.ID()); len(got.Failed()) != 4 || len(got.Crashes()) != 2 {
		t.Errorf("the next owner knows %d failed runs and %d crashes, want 4 and 2", len(got.Failed()), len(got.Crashes()))
	}
	small, err := j.Encode(MaxRecordBytes / 4)
	if err != nil {
		t.Fatal(err)
	}
	next = storedProgress{j.Spec.ID: small.Value}.takeOver(t, j.Spec, at(10))
	if got := next.Find(last.ID()); len(small.Value) > MaxRecordBytes/4 || small.Omitted.Failed == 0 || len(got.Failed()) != 4 {
		t.Errorf("a record of %d bytes, left out %+v, %d failed runs of the task with most", len(small.Value), small.Omitted, len(got.Failed()))
	}
}

// Guards against records that exceed their limit by an underestimated note, and against records that lack what
// would have fit.
func TestRecordKeepsItsLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tr := newState(t, 10)
		steps := make([]specifier.Step, rapid.IntRange(1, 4).Draw(rt, "steps"))
		for i := range steps {
			steps[i] = specifier.Step{Count: rapid.IntRange(1, 40).Draw(rt, "tasks"), Checkpoints: true, LongRunning: rapid.Bool().Draw(rt, "long-running")}
		}
		j := addJob(t, tr, 1, steps...)
		for _, s := range j.Occurrences[0].Steps {
			for _, t := range s.Tasks {
				t.HasRun = rapid.Bool().Draw(rt, "has run")
				t.SetCrashes(manyCrashes(rapid.IntRange(0, 3).Draw(rt, "crashes")))
				t.Checkpoint = rapid.String().Draw(rt, "checkpoint")
				t.SetFailed(rapid.SliceOfN(rapid.Int64Min(1), 0, 4).Draw(rt, "failed"))
			}
		}
		whole, err := j.Encode(MaxRecordBytes)
		if err != nil || whole.Omitted.Any() {
			rt.Fatalf("left out %+v, %v", whole.Omitted, err)
		}
		least, err := j.Encode(0)
		if err != nil {
			rt.Fatal(err)
		}
		limit := rapid.IntRange(len(least.Value), len(whole.Value)).Draw(rt, "limit")
		cut, err := j.Encode(limit)
		if err != nil || len(cut.Value) > limit {
			rt.Fatalf("%d bytes, limit %d, %v", len(cut.Value), limit, err)
		}
	})
}
