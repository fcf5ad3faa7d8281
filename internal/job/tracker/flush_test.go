package tracker

import (
	"errors"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/store/decoder"
)

// flushFixture is a VM with runs of two jobs, of which the store may take only the second.
type flushFixture struct {
	tr *Tracker
	vm *VM
}

const refusedJob, storedJob = 1, 2

func newFlushFixture(t *testing.T) *flushFixture {
	tr := newState(t, 3)
	f := &flushFixture{tr: tr, vm: attach(tr, "vm")}
	for _, n := range []int{refusedJob, storedJob} {
		addJob(t, tr, n, specifier.Step{Count: 4, Needs: specifier.Resources{CPUMillis: 10}})
		for index := range 4 {
			startRun(tr, f.vm, key(n, 0, index, 1), at(0))
		}
	}
	f.flush(refusedJob, storedJob)
	return f
}

// end reports the end of a run; the numbers of ends begin at 1.
func (f *flushFixture) end(seq int64, job, index int) {
	f.tr.EndRun(f.vm, key(job, 0, index, 1), EndStopped, "", at(10)) // no longer listed
	f.tr.Apply(f.vm, Report{Incarnation: "1", Ready: true, Runs: reportedRuns(f.vm), Ends: []ReportedEnd{{Seq: seq, Key: key(job, 0, index, 1), Outcome: EndDone}}}, at(10))
}

// flush stores the progress of some jobs.
func (f *flushFixture) flush(jobs ...int) {
	states := make(map[string]JobState)
	for _, n := range jobs {
		states[jobID(n)] = f.tr.Jobs[jobID(n)].State
	}
	f.tr.EndFlush(f.tr.BeginFlush(), states)
}

// Guards against ends that are acknowledged before the progress of their job is stored, and against ends that
// are not acknowledged because that of another job is not.
func TestEndsAreAcknowledgedAsFarAsTheirJobsAreStored(t *testing.T) {
	type end struct{ job, index int }
	tests := []struct {
		name string
		ends []end // their numbers begin at 1
		want int64 // acknowledged while one job is refused
	}{
		{"of the stored job", []end{{storedJob, 0}, {storedJob, 1}}, 2},
		{"of the refused job", []end{{refusedJob, 0}}, 0},
		{"before that of the refused job", []end{{storedJob, 0}, {refusedJob, 0}, {storedJob, 1}}, 1},
		{"of the refused job first", []end{{refusedJob, 0}, {storedJob, 0}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFlushFixture(t)
			for i, e := range tt.ends {
				f.end(int64(i+1), e.job, e.index)
			}
			f.flush(storedJob)
			if got := f.vm.EndStored; got != tt.want {
				t.Errorf("ends up to %d are acknowledged, want %d", got, tt.want)
			}
			f.flush(storedJob, refusedJob)
			if got := f.vm.EndStored; got != int64(len(tt.ends)) {
				t.Errorf("ends up to %d are acknowledged once all jobs are stored, want %d", got, len(tt.ends))
			}
		})
	}
}

// Guards against a crash that is acknowledged though the job of a suspected task could not be stored.
func TestCrashOfRefusedJobIsNotAcknowledged(t *testing.T) {
	for _, job := range []int{refusedJob, storedJob} {
		f := newFlushFixture(t)
		crashed := []CrashedRun{{Key: key(job, 0, 0, 1), Age: time.Millisecond}}
		f.tr.Apply(f.vm, Report{Incarnation: "1", Ready: true, Runs: reportedRuns(f.vm), Crashes: []ReportedCrash{{Seq: 1, Runs: crashed}}}, at(10))
		f.flush(storedJob)
		if got, want := f.vm.CrashStored, int64(job-refusedJob); got != want {
			t.Errorf("job %d: crashes up to %d are acknowledged, want %d", job, got, want)
		}
		f.flush(storedJob, refusedJob)
		if got := f.vm.CrashStored; got != 1 {
			t.Errorf("job %d: crashes up to %d are acknowledged once all jobs are stored, want 1", job, got)
		}
	}
}

// Guards against tasks that run twice, and ends of other jobs that are held back, while the store refuses the
// progress of a job: its ends are stored apart, and the next owner knows them.
func TestEndsOfRefusedJobAreHeld(t *testing.T) {
	f := newFlushFixture(t)
	j := f.tr.Jobs[jobID(refusedJob)]
	stored := make(storedProgress)
	stored[j.Spec.ID] = encode(t, j)
	var record []byte
	flush := func() {
		writing := f.tr.BeginFlush()
		held, err := writing.HoldEnds(MaxRecordBytes)
		if err != nil {
			t.Fatal(err)
		}
		record = held.Value
		f.tr.EndsHeld(held)
		f.tr.EndFlush(writing, map[string]JobState{jobID(storedJob): JobRunning})
	}
	f.end(1, refusedJob, 0)
	f.end(2, storedJob, 0)
	flush()
	j.Refused = true
	flush()
	if f.vm.EndStored != 2 {
		t.Fatalf("ends up to %d are acknowledged, want 2", f.vm.EndStored)
	}
	f.end(3, refusedJob, 1)
	flush()
	if f.vm.EndStored != 3 {
		t.Fatalf("ends up to %d are acknowledged, want 3", f.vm.EndStored)
	}
	if len(f.tr.WaitingSteps(at(20))) != 0 {
		t.Error("tasks of the refused job may start")
	}
	for range 2 { // the owner is replaced twice before the job is stored
		next := stored.takeOver(t, j.Spec, at(30))
		if err := next.RestoreHeldEnds(record, at(30)); err != nil {
			t.Fatal(err)
		}
		for index, want := range []bool{true, true, false, false} {
			if got := next.Find(task(refusedJob, 0, index)).Done; got != want {
				t.Errorf("task %d is done: %t, want %t", index, got, want)
			}
		}
		writing := next.BeginFlush()
		held, err := writing.HoldEnds(MaxRecordBytes)
		if err != nil || len(held.Value) != len(record) {
			t.Fatalf("%d bytes of held ends, want %d, %v", len(held.Value), len(record), err)
		}
		record = held.Value
	}
	f.flush(refusedJob, storedJob)
	if held, _ := f.tr.BeginFlush().HoldEnds(MaxRecordBytes); !held.Empty() {
		t.Errorf("ends are held after their job is stored: %s", held.Value)
	}
}

// Guards against tasks that run twice, and against a run number that no worker takes any more: an odd end in the
// record of held ends, of another writer, is left out, and the others count.
func TestOddHeldEndIsLeftOut(t *testing.T) {
	const sound = `{"task":"0000000000000001.0.0.1","run":3,"outcome":"done"}`
	tests := []struct {
		name, odd, field string
	}{
		{"null", `null`, "[0]"},
		{"nothing", `{}`, "[0].task"},
		{"of another type", `7`, "[0]"},
		{"a list", `[1,null]`, "[0]"},
		{"no task", `{"run":3,"outcome":"done"}`, "[0].task"},
		{"another task", `{"task":"x","run":3,"outcome":"done"}`, "[0].task"},
		{"no run", `{"task":"0000000000000001.0.0.0","outcome":"done"}`, "[0].run"},
		{"run of another type", `{"task":"0000000000000001.0.0.0","run":"3","outcome":"done"}`, "[0].run"},
		{"run that can't be", `{"task":"0000000000000001.0.0.0","run":9223372036854775807,"outcome":"done"}`, "[0].run"},
		{"no outcome", `{"task":"0000000000000001.0.0.0","run":3}`, "[0].outcome"},
		{"unknown outcome", `{"task":"0000000000000001.0.0.0","run":3,"outcome":"fine"}`, "[0].outcome"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 3)
			j := addJob(t, tr, 1, specifier.Step{Count: 2, Needs: oneCore})
			err := tr.RestoreHeldEnds([]byte("["+tt.odd+","+sound+"]"), at(10))
			if e, ok := errors.AsType[decoder.ErrField](err); !ok || e.Field != tt.field {
				t.Errorf("error %v, want field %s", err, tt.field)
			}
			tasks := j.Occurrences[0].Steps[0].Tasks
			if tasks[0].Done || tasks[0].LastNumber != 0 || !tasks[1].Done {
				t.Errorf("done %t, %t, last run %d", tasks[0].Done, tasks[1].Done, tasks[0].LastNumber)
			}
		})
	}
}

// Guards against an owner that crashes at a record of held ends, or gives a run a number that no worker takes.
func FuzzHeldEnds(f *testing.F) {
	for _, value := range []string{`[{"task":"0000000000000001.0.0.1","run":3,"outcome":"done"}]`, `null`, `[null]`, `[{"task":"0000000000000001.9.0.0","run":-1,"outcome":"failed"}]`, `{}`} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		tr := newState(t, 3)
		j := addJob(t, tr, 1, specifier.Step{Count: 2, Needs: oneCore})
		_ = tr.RestoreHeldEnds(value, at(10))
		for _, o := range j.Occurrences {
			for _, task := range o.Steps[0].Tasks {
				if n := tr.NextNumber(task); n <= 0 || n > maxHeldRun+1 {
					t.Errorf("the next run has number %d", n)
				}
			}
		}
	})
}
