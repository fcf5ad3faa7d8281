package specifier

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const id = "00000000000004d2"

func TestCheckReportsEveryError(t *testing.T) {
	valid := Step{Count: 1, Needs: Resources{CPUMillis: 100, MemoryMB: 10}, EstimateMillis: 5}
	tests := []struct {
		name string
		job  Job
		want []string // parts of the message; none: the job is valid
	}{
		{"valid", Job{ID: id, Steps: []Step{valid, {Count: 2, After: []int{0}}}}, nil},
		{"id", Job{ID: "lot-1", Steps: []Step{valid}}, []string{`id "lot-1": want 16 hexadecimal digits`}},
		{"id not hexadecimal", Job{ID: "000000000000004g", Steps: []Step{valid}}, []string{"want 16 hexadecimal digits"}},
		{"no steps", Job{ID: id}, []string{"steps: 0, want 1 to 64"}},
		{"payload", Job{ID: id, Payload: strings.Repeat("x", MaxPayloadBytes+1), Steps: []Step{valid}}, []string{"payload: 4001 bytes"}},
		{"count", Job{ID: id, Steps: []Step{{Count: 0}}}, []string{"step 0: count 0"}},
		{"depends on itself", Job{ID: id, Steps: []Step{valid, {Count: 1, After: []int{1}}}}, []string{"step 1: runs after step 1, which is not an earlier one"}},
		{"depends on a later step", Job{ID: id, Steps: []Step{{Count: 1, After: []int{1}}, valid}}, []string{"step 0: runs after step 1"}},
		{"negative size", Job{ID: id, Steps: []Step{{Count: 1, Needs: Resources{CPUMillis: -1}}}}, []string{"must not be negative", "cpu-millis -1"}},
		{"too many tasks", Job{ID: id, Steps: []Step{{Count: MaxTasks}, {Count: 1}}}, []string{"20001 tasks in total"}},
		{"several errors", Job{ID: "x", Occurrences: -1, Steps: []Step{{Count: -1, MaxPerVM: -1}}}, []string{"id", "occurrences", "count -1", "bounds must not"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := Check(&tt.job)
			if len(tt.want) == 0 && err != nil {
				t.Fatal(err)
			}
			for _, want := range tt.want {
				if err == nil || !strings.Contains(err.Error(), want) {
					t.Errorf("got %v, want %q", err, want)
				}
			}
		})
	}
}

func TestTaskIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 1<<30)
		want := TaskID{rapid.StringMatching("[0-9a-f]{16}").Draw(t, "job"), n.Draw(t, "occurrence"), n.Draw(t, "step"), n.Draw(t, "index")}
		got, err := ParseTaskID(want.String())
		if err != nil || got != want {
			t.Fatalf("got %v, %v; want %v", got, err, want)
		}
	})
}

func FuzzParseTaskID(f *testing.F) {
	for _, s := range []string{"", "a.0.0.0", "a.0.0", "a.-1.0.0", "a.0.0.0.0", ".0.0.0", "a.99999999999999999999.0.0"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, err := ParseTaskID(text)
		if err != nil {
			return
		}
		if again, err := ParseTaskID(got.String()); err != nil || again != got {
			t.Errorf("%q is parsed as %v, whose text form is parsed as %v, %v", text, got, again, err)
		}
	})
}

func TestMatchUsesLongestPrefixOfHost(t *testing.T) {
	p := Policy{Queues: []Queue{
		{Name: "all", Host: "a", Prefix: "/"}, {Name: "labels", Host: "a", Prefix: "/labels/"}, {Name: "other", Host: "b", Prefix: "/labels/x/"},
	}}
	tests := []struct {
		host, path, queue, rest string
		ok                      bool
	}{
		{"a", "/labels/1", "labels", "1", true},
		{"a", "/labels/", "labels", "", true},
		{"a", "/labelled", "all", "labelled", true},
		{"b", "/labels/1", "", "/labels/1", false},
		{"c", "/labels/1", "", "/labels/1", false},
	}
	for _, tt := range tests {
		q, rest, ok := p.Match(tt.host, tt.path)
		if diff := cmp.Diff([]any{tt.queue, tt.rest, tt.ok}, []any{q.Name, rest, ok}); diff != "" {
			t.Errorf("%s%s: %s", tt.host, tt.path, diff)
		}
	}
}

func TestDue(t *testing.T) {
	once := Job{AcceptedMillis: 5000}
	if got := once.Due(0); !got.Equal(time.UnixMilli(5000)) || once.OccurrenceCount() != 1 {
		t.Errorf("a job without occurrences is due at %v, %d times", got, once.OccurrenceCount())
	}
	scheduled := Job{AcceptedMillis: 5000, Occurrences: 3, FirstMillis: 9000, IntervalMillis: 200}
	if got := scheduled.Due(2); !got.Equal(time.UnixMilli(9400)) || scheduled.OccurrenceCount() != 3 {
		t.Errorf("the third occurrence is due at %v of %d", got, scheduled.OccurrenceCount())
	}
}
