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

// withoutIDs returns the runs without ids, sorted by task and run.
func withoutIDs(runs []messenger.WorkRun) []messenger.WorkRun {
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

// Guards against tasks that run twice or never again: the owner treats a run as ended that is
// not, or as running that has ended. Whatever runs start, end, start again and change, over any
// sessions, the reports restored by the owner must equal the full reports.
func TestRestoredReportsEqualFullReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, r := New(), NewRestorer()
		session := int64(1)
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			if rapid.IntRange(0, 5).Draw(t, "session") == 0 {
				session++
				r = NewRestorer() // for a new connection
			}
			full := messenger.WorkReport{VM: "vm", Session: session, Ready: rapid.Bool().Draw(t, "ready")}
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
					full.Runs = append(full.Runs, w)
				}
			}
			got, err := r.Restore(jsonRoundTrip(t, a.Abridge(full)))
			if err != nil {
				t.Fatal(err)
			}
			want := full
			want.Runs, got.Runs = withoutIDs(full.Runs), withoutIDs(got.Runs)
			if d := diff.Diff(want, got); d != "" {
				t.Fatal(d)
			}
		}
	})
}

// Guards against tasks that run twice: an owner that has not read all reports of a session
// treats one that contains only changes as a full report, and starts what it does not list.
func TestRestoreRefusesMissingReport(t *testing.T) {
	report := func(runs ...string) messenger.WorkReport {
		r := messenger.WorkReport{Session: 1}
		for _, task := range runs {
			r.Runs = append(r.Runs, messenger.WorkRun{Task: task, Run: 1})
		}
		return r
	}
	tests := []struct {
		name string
		read []bool // whether the owner reads each of three reports
	}{
		{"the owner took over after the first", []bool{false, true, true}},
		{"a report in between was lost", []bool{true, false, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, r := New(), NewRestorer()
			var err error
			for i, full := range []messenger.WorkReport{report("a"), report("a", "b"), report("a", "b")} {
				abridged := a.Abridge(full)
				if tt.read[i] && err == nil {
					_, err = r.Restore(abridged)
				}
			}
			var missing ErrReportMissing
			if !errors.As(err, &missing) {
				t.Errorf("got %v, want ErrReportMissing", err)
			}
		})
	}
}

// jsonRoundTrip returns a report after encoding and decoding it as JSON.
func jsonRoundTrip(t *rapid.T, r messenger.WorkReport) messenger.WorkReport {
	b, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var decoded messenger.WorkReport
	if err := json.Unmarshal(b, &decoded); err != nil {
		t.Fatal(err)
	}
	return decoded
}

// A report that depends on one that was not received must be refused, and so must one that
// refers to a run that was never reported, even if its number is the expected one.
func TestReportAfterLostOneIsRefused(t *testing.T) {
	run := messenger.WorkRun{Task: "task", Run: 1}
	tests := []struct {
		name   string
		modify func(r *messenger.WorkReport)
		want   func(err error) bool
	}{
		{"unexpected number", func(*messenger.WorkReport) {}, func(err error) bool { return errors.As(err, new(ErrReportMissing)) }},
		{"unknown run", func(r *messenger.WorkReport) { r.Part = 1 }, func(err error) bool { return errors.As(err, new(ErrUnknownRun)) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := New()
			run.Progress = 0
			a.Abridge(messenger.WorkReport{Session: 1, Runs: []messenger.WorkRun{run}}) // lost
			run.Progress = 5
			changed := a.Abridge(messenger.WorkReport{Session: 1, Runs: []messenger.WorkRun{run}})
			a.Abridge(messenger.WorkReport{Session: 1, Runs: []messenger.WorkRun{run}}) // lost
			ended := a.Abridge(messenger.WorkReport{Session: 1})
			for _, abridged := range []messenger.WorkReport{changed, ended} {
				tt.modify(&abridged)
				if _, err := NewRestorer().Restore(abridged); !tt.want(err) {
					t.Errorf("got %v", err)
				}
			}
		})
	}
}
