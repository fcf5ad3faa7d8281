package abridger

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"

	diff "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/wire/messenger"
)

func sorted(runs []messenger.WorkRun) []messenger.WorkRun {
	var all []messenger.WorkRun
	for _, r := range runs {
		r.ID = 0
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b messenger.WorkRun) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
	})
	return all
}

// Tasks run twice, or never again, if the owner takes a run for gone that is not, or for
// there that has ended. Whatever runs come, go, come again and change, over any sessions,
// the owner must read from the abridged reports what the whole ones say.
func TestTheOwnerReadsWhatTheAgentMeans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, r := New(), NewRestorer()
		session := int64(1)
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			if rapid.IntRange(0, 5).Draw(t, "session") == 0 {
				session++
				r = NewRestorer() // of another connection
			}
			whole := messenger.WorkReport{VM: "vm", Session: session, Ready: rapid.Bool().Draw(t, "ready")}
			for n := range 6 {
				if rapid.Bool().Draw(t, "runs") {
					w := messenger.WorkRun{
						Task: fmt.Sprint("task-", n), Run: int64(rapid.IntRange(1, 2).Draw(t, "number")), Confirmed: rapid.Bool().Draw(t, "confirmed"), Stopping: rapid.Bool().Draw(t, "stopping"),
						Checkpoint: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "checkpoint"),
						Progress:   rapid.IntRange(0, 3).Draw(t, "progress"), Measure: int64(rapid.IntRange(0, 2).Draw(t, "measure")),
					}
					if rapid.Bool().Draw(t, "needs") {
						w.Needs = &specifier.Resources{CPUMillis: int64(rapid.IntRange(1, 2).Draw(t, "cpu"))}
					}
					whole.Runs = append(whole.Runs, w)
				}
			}
			got, err := r.Restore(carried(t, a.Abridge(whole)))
			if err != nil {
				t.Fatal(err)
			}
			want := whole
			want.Runs, got.Runs = sorted(whole.Runs), sorted(got.Runs)
			if d := diff.Diff(want, got); d != "" {
				t.Fatal(d)
			}
		}
	})
}

// Guards against tasks that run twice: an owner that has not read all reports of a session
// takes one that tells of changes for the whole, and starts what it does not list.
func TestReportsOfASessionAreReadInOrder(t *testing.T) {
	report := func(runs ...string) messenger.WorkReport {
		r := messenger.WorkReport{Session: 1}
		for _, task := range runs {
			r.Runs = append(r.Runs, messenger.WorkRun{Task: task, Run: 1})
		}
		return r
	}
	tests := []struct {
		name string
		read []bool // by the owner, of three reports
	}{
		{"the owner took over after the first", []bool{false, true, true}},
		{"one in between was lost", []bool{true, false, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, r := New(), NewRestorer()
			var err error
			for i, whole := range []messenger.WorkReport{report("a"), report("a", "b"), report("a", "b")} {
				short := a.Abridge(whole)
				if tt.read[i] && err == nil {
					_, err = r.Restore(short)
				}
			}
			var missing ErrReportMissing
			if !errors.As(err, &missing) {
				t.Errorf("read with %v", err)
			}
		})
	}
}

// carried is a report as it comes off the wire.
func carried(t *rapid.T, r messenger.WorkReport) messenger.WorkReport {
	b, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var back messenger.WorkReport
	if err := json.Unmarshal(b, &back); err != nil {
		t.Fatal(err)
	}
	return back
}

// A report that rests on one that never came must not be guessed at, nor one that names a
// run that was never told, whatever its number says.
func TestAMissedReportIsNoticed(t *testing.T) {
	run := messenger.WorkRun{Task: "task", Run: 1}
	tests := []struct {
		name   string
		number func(r *messenger.WorkReport)
		want   func(err error) bool
	}{
		{"by its number", func(*messenger.WorkReport) {}, func(err error) bool { return errors.As(err, new(ErrReportMissing)) }},
		{"by the run that it names", func(r *messenger.WorkReport) { r.Part = 1 }, func(err error) bool { return errors.As(err, new(ErrUnknownRun)) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := New()
			run.Progress = 0
			a.Abridge(messenger.WorkReport{Session: 1, Runs: []messenger.WorkRun{run}}) // lost
			run.Progress = 5
			changed := a.Abridge(messenger.WorkReport{Session: 1, Runs: []messenger.WorkRun{run}})
			a.Abridge(messenger.WorkReport{Session: 1, Runs: []messenger.WorkRun{run}}) // lost
			gone := a.Abridge(messenger.WorkReport{Session: 1})
			for _, short := range []messenger.WorkReport{changed, gone} {
				tt.number(&short)
				if _, err := NewRestorer().Restore(short); !tt.want(err) {
					t.Errorf("restored with %v", err)
				}
			}
		})
	}
}
