package specifier

import (
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against values of callers that overflow where an owner computes with them: an estimate above 292
// years was negative as a duration, and its runs counted as stalled from their start.
func TestValuesAreRefusedAboveTheirLimits(t *testing.T) {
	const largest = math.MaxInt64
	millis := MaxEstimate.Milliseconds()
	tests := []struct {
		field string // part of the message
		limit int64
		set   func(j *Job, v int64)
	}{
		{"estimate-ms", millis, func(j *Job, v int64) { j.Steps[0].EstimateMillis = v }},
		{"tail-target", millis, func(j *Job, v int64) { j.Steps[0].TailMillis = v }},
		{"cpu-millis", MaxNeed, func(j *Job, v int64) { j.Steps[0].Needs.CPUMillis = v }},
		{"memory-mb", MaxNeed, func(j *Job, v int64) { j.Steps[0].Needs.MemoryMB = v }},
		{"gpus", MaxNeed, func(j *Job, v int64) { j.Steps[0].Needs.GPUs = v }},
		{"count", MaxTasks, func(j *Job, v int64) { j.Steps[0].Count = int(v) }},
		{"occurrences", MaxOccurrences, func(j *Job, v int64) { j.Occurrences = int(v) }},
		{"interval-ms", maxInterval.Milliseconds(), func(j *Job, v int64) { j.IntervalMillis = v }},
		{"first-ms", maxFirstStart.UnixMilli(), func(j *Job, v int64) { j.FirstMillis = v }},
		// Only compared with counts of at most MaxTasks: any number above that is no limit.
		{"max-per-vm", largest, func(j *Job, v int64) { j.Steps[0].MaxPerVM = int(v) }},
		{"max-away", largest, func(j *Job, v int64) { j.Steps[0].MaxUnavailable = int(v) }},
	}
	for _, tt := range tests {
		t.Run(tt.field, func(t *testing.T) {
			check := func(v int64) error {
				j := &Job{ID: id, Steps: []Step{{Count: 1}, {Count: 1}}}
				if tt.field == "count" {
					j.Steps = j.Steps[:1] // the sum has the same limit
				}
				tt.set(j, v)
				return Check(j)
			}
			if err := check(tt.limit); err != nil {
				t.Errorf("refused at its limit: %v", err)
			}
			if tt.limit == largest {
				return
			}
			for _, v := range []int64{tt.limit + 1, max(tt.limit, largest/int64(time.Millisecond)) + 1, largest} {
				if err := check(v); err == nil || !strings.Contains(err.Error(), tt.field) {
					t.Errorf("%d: %v, want it refused with the name of the field", v, err)
				}
			}
		})
	}
}

// Guards against sums over the tasks and steps of jobs that overflow.
func TestSumsOfAcceptedJobsDoNotOverflow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.OneOf(rapid.Int64Range(0, MaxNeed), rapid.Just(int64(MaxNeed)))
		j := &Job{ID: id, Steps: []Step{{
			Count:          rapid.IntRange(1, MaxTasks).Draw(t, "count"),
			Needs:          Resources{value.Draw(t, "cpu"), value.Draw(t, "memory"), value.Draw(t, "gpus")},
			EstimateMillis: rapid.Int64Range(0, MaxEstimate.Milliseconds()).Draw(t, "estimate"),
		}}}
		if err := Check(j); err != nil {
			t.Fatal(err)
		}
		const jobs = 100_000
		all := j.Steps[0].Needs.Times(int64(j.Steps[0].Count)).Times(jobs)
		if all.CPUMillis < 0 || all.MemoryMB < 0 || all.GPUs < 0 || j.Steps[0].Estimate() < 0 {
			t.Fatalf("%d jobs need %+v, each task for %s", jobs, all, j.Steps[0].Estimate())
		}
	})
}

// Guards against a record of an earlier build that stops an owner, or that it computes wrong with.
func TestStoredValuesAreBounded(t *testing.T) {
	const largest = math.MaxInt64
	j := &Job{
		ID: id, Queue: "q", Steps: []Step{{Count: 1, EstimateMillis: largest, TailMillis: largest, Needs: Resources{largest, largest, largest}}},
		QueueSettings: &QueueSettings{Slack: -1, TargetMillis: -largest, AdviceMillis: largest, AdviceVMMillis: largest, AdviceValidMillis: largest},
	}
	j.Bound()
	if err := Check(j); err != nil {
		t.Error(err)
	}
	if got := j.Steps[0].Estimate(); got != MaxEstimate {
		t.Errorf("estimate %s, want %s", got, MaxEstimate)
	}
	q, _ := j.AcceptedIn()
	want := Queue{Name: "q", AdviceTime: MaxSpan, AdvicePerVM: MaxSpan, AdviceValid: MaxSpan}
	if q != want {
		t.Errorf("%+v, want %+v", q, want)
	}
}

func TestSpansSaturate(t *testing.T) {
	tests := []struct {
		of   float64
		want time.Duration
	}{
		{0, 0}, {1e9, time.Second}, {-1e9, -time.Second}, {1e19, MaxSpan}, {-1e300, -MaxSpan}, {math.Inf(1), MaxSpan}, {math.NaN(), MaxSpan},
	}
	for _, tt := range tests {
		if got := Span(tt.of); got != tt.want {
			t.Errorf("Span(%v) is %s, want %s", tt.of, got, tt.want)
		}
	}
	if got := Sum(MaxSpan, MaxSpan); got != MaxSpan {
		t.Errorf("the sum of the longest is %s", got)
	}
	if got := Sum(time.Second, time.Minute); got != 61*time.Second {
		t.Errorf("the sum is %s", got)
	}
}
