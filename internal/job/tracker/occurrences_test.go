package tracker

import (
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
)

// Guards against a job that uses up the memory of the owner, and of each owner after it: all
// of its occurrences are due at once.
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
		{"tombstone", `{"id":"0000000000000001","queue":"q","ended":"done"}`, true},
		{"invalid JSON", `{`, false},
		{"no steps", `{"id":"0000000000000001","queue":"q"}`, false},
		{"after a step that does not exist", `{"id":"0000000000000001","queue":"q","steps":[{"count":1,"after":[7]}]}`, false},
		{"too many occurrences", `{"id":"0000000000000001","queue":"q","steps":[{"count":1}],"occurrences":99999999999}`, false},
		{"an interval that overflows", `{"id":"0000000000000001","queue":"q","steps":[{"count":1}],"occurrences":3,"interval-ms":9223372036854775807}`, false},
	}
	for _, tt := range tests {
		if _, err := DecodeJob([]byte(tt.value)); (err == nil) != tt.ok {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
}
