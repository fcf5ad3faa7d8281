package tracker

import (
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
)

// Guards against a job that uses up the memory of the owner, and of each owner after it: all
// of its occurrences are due at once. The next owner may have to open those again that are not stored as
// opened, so these are bounded as well.
func TestOpenOccurrencesAreBounded(t *testing.T) {
	tests := []struct {
		name  string
		count int // tasks of an occurrence
		open  int
	}{
		{"small occurrences", 1, specifier.MaxOpen},
		{"large occurrences", specifier.MaxTasks / 4, 4},
		{"largest occurrences", specifier.MaxTasks, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 3)
			spec := &specifier.Job{
				ID: jobID(1), Queue: "q", Steps: []specifier.Step{{Count: tt.count, Needs: oneCore}},
				Occurrences: 5000, FirstMillis: begin.Add(-time.Hour).UnixMilli(), IntervalMillis: 1,
			}
			if err := specifier.Check(spec); err != nil {
				t.Fatal(err)
			}
			tr.AddJob(spec, time.Time{}, begin)
			j := tr.Jobs[spec.ID]
			if got := len(j.Occurrences); got != tt.open {
				t.Fatalf("%d occurrences are open, want %d", got, tt.open)
			}
			first := j.Occurrences[0]
			for _, task := range first.Steps[0].Tasks {
				tr.taskDone(task, at(10))
			}
			tr.OpenDue(at(10))
			if tasks := j.Next * tt.count; tasks > specifier.MaxTasks {
				t.Errorf("occurrences with %d tasks have been opened before any was stored, want at most %d", tasks, specifier.MaxTasks)
			}
			make(storedProgress).flush(t, tr)
			tr.OpenDue(at(10))
			if got := len(j.Occurrences); got != tt.open || j.Next != tt.open+1 || j.Occurrences[0] == first {
				t.Errorf("%d occurrences are open and %d have been opened, want %d and %d", got, j.Next, tt.open, tt.open+1)
			}
		})
	}
}

// Guards against tasks that run again because the progress of their job can't be read.
func TestJobWithUnreadableProgressDoesNotStart(t *testing.T) {
	tests := []struct {
		name     string
		progress string
		waiting  int // number of waiting steps
	}{
		{"readable", `{"state":"running","next":1,"open":[{"number":0,"steps":[{"done":"01"}]}]}`, 1},
		{"invalid JSON", `{`, 0},
		{"an unknown state", `{"state":"sleeping","next":1,"open":[{"number":0,"steps":[{"done":"01"}]}]}`, 0},
		{"more steps than the job", `{"state":"running","next":1,"open":[{"number":0,"steps":[{},{}]}]}`, 0},
		{"invalid bitmap", `{"state":"running","next":1,"open":[{"number":0,"steps":[{"done":"zz"}]}]}`, 0},
		{"readable, with a checkpoint and a failed run", `{"state":"running","next":1,"open":[{"number":0,"steps":[{"failed":{"1":[3]},"checkpoints":{"0":"c"}}]}]}`, 1},
		{"null", `null`, 0},
		{"nothing", `{}`, 0},
		{"no state", `{"next":1,"open":[{"number":0,"steps":[{"done":"01"}]}]}`, 0},
		{"a state in other letters", `{"state":"running","State":"queued","next":1,"open":[{"number":0,"steps":[{"done":"01"}]}]}`, 0},
		{"no next occurrence", `{"state":"running"}`, 0},
		{"next occurrence null", `{"state":"running","next":null}`, 0},
		{"no open occurrences", `{"state":"running","next":1}`, 0},
		{"an occurrence without number", `{"state":"running","next":1,"open":[{"steps":[{"done":"01"}]}]}`, 0},
		{"an occurrence that is not opened yet", `{"state":"running","next":1,"open":[{"number":1,"steps":[{"done":"01"}]}]}`, 0},
		{"an occurrence with a negative number", `{"state":"running","next":1,"open":[{"number":-1,"steps":[{"done":"01"}]}]}`, 0},
		{"an occurrence without steps", `{"state":"running","next":1,"open":[{"number":0}]}`, 0},
		{"a crash without its VM", `{"state":"running","next":1,"open":[{"number":0,"steps":[{"crashes":{"0":[{"run":3,"age-ms":5}]}}]}]}`, 0},
		{"ended at no time", `{"state":"done","next":1,"finished":1}`, 0},
		{"more occurrences than the job", `{"state":"running","next":2,"open":[{"number":1,"steps":[{"done":"01"}]}]}`, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 3)
			j := addJob(t, tr, 1, specifier.Step{Count: 2, Needs: oneCore})
			err := tr.Restore(j.Spec.ID, []byte(tt.progress), at(10))
			tr.OpenDue(at(20))
			if got := len(tr.WaitingSteps(at(20))); got != tt.waiting || (err == nil) != (tt.waiting > 0) {
				t.Errorf("%d steps wait, error: %v", got, err)
			}
		})
	}
}

// Guards against an owner that crashes at a record of a job that could never have been accepted.
func TestDecodeJob(t *testing.T) {
	tests := []struct {
		name  string
		value string
		ok    bool
	}{
		{"valid", `{"id":"0000000000000001","queue":"q","steps":[{"count":1},{"count":1,"after":[0]}]}`, true},
		{"tombstone", `{"id":"0000000000000001","queue":"q","ended":"done","ended-ms":7}`, true},
		{"invalid JSON", `{`, false},
		{"no steps", `{"id":"0000000000000001","queue":"q"}`, false},
		{"after a step that does not exist", `{"id":"0000000000000001","queue":"q","steps":[{"count":1,"after":[7]}]}`, false},
		{"too many occurrences", `{"id":"0000000000000001","queue":"q","steps":[{"count":1}],"occurrences":99999999999}`, false},
		{"null", `null`, false},
		{"nothing", `{}`, false},
		{"tombstone of a state that is none", `{"id":"0000000000000001","queue":"q","ended":"running","ended-ms":7}`, false},
		{"tombstone that ended at no time", `{"id":"0000000000000001","queue":"q","ended":"done"}`, false},
		{"an interval that overflows", `{"id":"0000000000000001","queue":"q","steps":[{"count":1}],"occurrences":3,"interval-ms":9223372036854775807}`, false},
	}
	for _, tt := range tests {
		if _, err := DecodeJob([]byte(tt.value)); (err == nil) != tt.ok {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
}

// openedByFormerOwner returns the progress that the first owner of a recurring job has stored, after it has
// stored a number of occurrences as opened and has opened one more for each that was done since.
func openedByFormerOwner(t *testing.T, spec *specifier.Job, stored, done int) (former *Tracker, progress storedProgress) {
	t.Helper()
	former, progress = newState(t, 3), make(storedProgress)
	former.AddJob(spec, time.Time{}, begin)
	j := former.Jobs[spec.ID]
	j.markDirty()
	progress.flush(t, former)
	if j.Next != stored {
		t.Fatalf("%d occurrences are open, want %d", j.Next, stored)
	}
	for range done {
		for _, s := range j.Occurrences[0].Steps {
			for _, task := range s.Tasks {
				former.taskDone(task, begin)
			}
		}
		former.OpenDue(begin)
	}
	return former, progress
}

// Guards against tasks that run twice after a change of owner: the former owner had opened occurrences that
// are not stored as opened, and the next one drops the ends of their tasks or stops their runs, and opens
// them again.
func TestNextOwnerKnowsOccurrencesOfReportedRuns(t *testing.T) {
	const stored = specifier.MaxOpen
	recurring := func(occurrences int) *specifier.Job {
		return &specifier.Job{
			ID: jobID(1), Queue: "q", Steps: []specifier.Step{{Count: 1, Needs: oneCore}, {Count: 2, Needs: oneCore, After: []int{0}}},
			Occurrences: occurrences, FirstMillis: begin.Add(-time.Hour).UnixMilli(), IntervalMillis: 1,
		}
	}
	id := func(occurrence, step, index int) specifier.TaskID {
		return specifier.TaskID{Job: jobID(1), Occurrence: occurrence, Step: step, Index: index}
	}
	tests := []struct {
		name   string
		report Report
		done   []specifier.TaskID // must count as done
		runs   []specifier.TaskID // must have their run
		want   int                // occurrences that have been opened
	}{
		{"a run goes on", Report{Runs: []ReportedRun{{Key: RunKey{id(stored+50, 0, 0), 1}, Confirmed: true}}}, nil, []specifier.TaskID{id(stored+50, 0, 0)}, stored + 51},
		{"a run has ended", Report{Ends: []ReportedEnd{{Seq: 1, Key: RunKey{id(stored+7, 0, 0), 1}, Outcome: EndDone}}}, []specifier.TaskID{id(stored+7, 0, 0)}, nil, stored + 8},
		{"a run of a later step goes on, its earlier step has ended", Report{
			Runs: []ReportedRun{{Key: RunKey{id(stored+3, 1, 1), 1}, Confirmed: true}},
			Ends: []ReportedEnd{{Seq: 1, Key: RunKey{id(stored+3, 0, 0), 1}, Outcome: EndDone}},
		}, []specifier.TaskID{id(stored+3, 0, 0)}, []specifier.TaskID{id(stored+3, 1, 1)}, stored + 4},
		{"a start that was not answered", Report{Runs: []ReportedRun{{Key: RunKey{id(stored, 0, 0), 1}}}}, nil, []specifier.TaskID{id(stored, 0, 0)}, stored + 1},
		{"a crash", Report{Crashes: []ReportedCrash{{Seq: 1, Runs: []CrashedRun{{Key: RunKey{id(stored+1, 0, 0), 1}}}}}}, nil, nil, stored + 2},
		{"a run of no task of the job", Report{Runs: []ReportedRun{{Key: RunKey{id(stored+1, 0, 1), 1}, Confirmed: true}}}, nil, nil, stored},
		{"a run of an occurrence that no owner can have opened", Report{Runs: []ReportedRun{{Key: RunKey{id(stored+specifier.MaxTasks, 0, 0), 1}, Confirmed: true}}}, nil, nil, stored},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			spec := recurring(100_000)
			_, progress := openedByFormerOwner(t, spec, stored, 100)
			next := progress.takeOver(t, spec, at(10))
			rep := tt.report
			rep.Incarnation, rep.Ready = "1", true
			vm, changes := next.Attach(VMInfo{Name: "vm", Zone: "z", Capacity: eightCore}, rep, at(10))
			if j := next.Jobs[spec.ID]; j.Next != tt.want {
				t.Errorf("%d occurrences have been opened, want %d", j.Next, tt.want)
			}
			for _, id := range tt.done {
				if task := next.Find(id); task == nil || !task.Done {
					t.Errorf("task %s is not done", id)
				}
			}
			for _, id := range tt.runs {
				if task := next.Find(id); task == nil || len(task.Runs) != 1 || len(Unwanted([]*VM{vm})) != 0 {
					t.Errorf("the run of task %s is not kept", id)
				}
			}
			if len(changes.Unassigned) != 0 {
				t.Errorf("ends without a task: %v", changes.Unassigned)
			}
			progress.flush(t, next)
			if third := progress.takeOver(t, spec, at(20)); third.Jobs[spec.ID].Next != tt.want {
				t.Errorf("the owner after the next has opened %d occurrences, want %d", third.Jobs[spec.ID].Next, tt.want)
			}
		})
	}
}

// Guards against tasks that start before their time: the clock of the former owner was ahead, and has opened
// an occurrence that is not due by the clock of this one.
func TestInheritedOccurrenceIsNotStartedBeforeItsTime(t *testing.T) {
	spec := &specifier.Job{ID: jobID(1), Queue: "q", Steps: []specifier.Step{{Count: 1, Needs: oneCore}}, Occurrences: 10, FirstMillis: at(1000).UnixMilli(), IntervalMillis: 1000}
	reported := Report{Incarnation: "1", Ready: true, Runs: []ReportedRun{{Key: RunKey{specifier.TaskID{Job: jobID(1), Occurrence: 2}, 1}, Confirmed: true}}}
	tests := []struct {
		name   string
		record string
		report Report
	}{
		{"stored as opened", `{"state":"running","next":3,"open":[{"number":0,"steps":[{}]},{"number":1,"steps":[{}]},{"number":2,"steps":[{}]}]}`, Report{Incarnation: "1", Ready: true}},
		{"known from a run", `{"state":"running","next":1,"open":[{"number":0,"steps":[{}]}]}`, reported},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next := storedProgress{spec.ID: []byte(tt.record)}.takeOver(t, spec, at(1500))
			next.Attach(VMInfo{Name: "vm", Zone: "z", Capacity: eightCore}, tt.report, at(1500))
			for millis, want := range map[int]int{1500: 1, 2500: 2} {
				if got := len(next.WaitingSteps(at(millis))); got != want {
					t.Errorf("after %d ms %d occurrences wait, want %d", millis, got, want)
				}
			}
		})
	}
}

// Guards against ends that are dropped without a trace: the record of their job is missing or can't be read.
func TestEndsOfUnknownTasksAreReported(t *testing.T) {
	tr := newState(t, 3)
	unreadable := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore})
	if err := tr.Restore(unreadable.Spec.ID, []byte("{"), at(0)); err == nil {
		t.Fatal("the record is read")
	}
	ended := addJob(t, tr, 2, specifier.Step{Count: 1, Needs: oneCore})
	tr.Cancel(ended.Spec.ID, at(0))
	addJob(t, tr, 3, specifier.Step{Count: 1, Needs: oneCore})
	var ends []ReportedEnd
	for n := 1; n <= 4; n++ { // of the three jobs, and of one that is not known
		ends = append(ends, ReportedEnd{Seq: int64(n), Key: key(n, 0, 0, 1), Outcome: EndDone})
	}
	_, changes := tr.Attach(VMInfo{Name: "vm", Zone: "z", Capacity: eightCore}, Report{Incarnation: "1", Ready: true, Ends: ends}, at(10))
	if got := changes.Unassigned; len(got) != 2 || got[0].Key.Task.Job != jobID(1) || got[1].Key.Task.Job != jobID(4) {
		t.Errorf("ends without a task: %+v", got)
	}
}
