package specifier

import (
	"errors"
	"fmt"
	"time"
)

// Bounds far above any real use, so that nothing that is computed from them can overflow.
const (
	maxInterval = 366 * 24 * time.Hour // between scheduled occurrences

	MaxEstimate = 10 * 366 * 24 * time.Hour // declared duration of a task
	MaxNeed     = 1_000_000_000             // of each resource of a task: in thousandths of a core, MB, and GPUs
)

var maxFirstStart = time.Date(2999, time.December, 31, 0, 0, 0, 0, time.UTC)

// Check returns all errors of a job, joined, or nil if it is valid. An invalid job could
// never run as its caller intended.
func Check(j *Job) error {
	var errs []error
	add := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if !isID(j.ID) {
		add("id %q: want 16 hexadecimal digits", j.ID)
	}
	if len(j.Payload) > MaxPayloadBytes {
		add("payload: %d bytes, at most %d", len(j.Payload), MaxPayloadBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		add("steps: %d, want 1 to %d", len(j.Steps), MaxSteps)
	}
	if j.Occurrences < 0 || j.IntervalMillis < 0 || j.FirstMillis < 0 {
		add("occurrences, first-ms and interval-ms must not be negative: %d, %d and %d", j.Occurrences, j.FirstMillis, j.IntervalMillis)
	}
	if j.Occurrences > MaxOccurrences {
		add("occurrences: %d, at most %d", j.Occurrences, MaxOccurrences)
	}
	if j.IntervalMillis > maxInterval.Milliseconds() || j.FirstMillis > maxFirstStart.UnixMilli() {
		add("occurrences: interval-ms %d and first-ms %d, want an interval of at most %s and a first start no later than %s", j.IntervalMillis, j.FirstMillis, maxInterval, maxFirstStart)
	}
	tasks := 0
	for i, s := range j.Steps {
		errs = append(errs, checkStep(i, s)...)
		tasks += max(s.Count, 0)
	}
	if tasks > MaxTasks {
		add("steps: %d tasks in total, at most %d", tasks, MaxTasks)
	}
	return errors.Join(errs...)
}

func checkStep(i int, s Step) []error {
	var errs []error
	add := func(format string, args ...any) {
		errs = append(errs, fmt.Errorf("step %d: %s", i, fmt.Sprintf(format, args...)))
	}
	if s.Count < 1 || s.Count > MaxTasks {
		add("count %d, want 1 to %d", s.Count, MaxTasks)
	}
	if s.Needs.CPUMillis < 0 || s.Needs.MemoryMB < 0 || s.Needs.GPUs < 0 || s.EstimateMillis < 0 || s.MaxPerVM < 0 || s.MaxUnavailable < 0 || s.TailMillis < 0 {
		add("sizes, durations and bounds must not be negative: cpu-millis %d, memory-mb %d, gpus %d, estimate-ms %d, max-per-vm %d, max-away %d, tail-target %d", s.Needs.CPUMillis, s.Needs.MemoryMB, s.Needs.GPUs, s.EstimateMillis, s.MaxPerVM, s.MaxUnavailable, s.TailMillis)
	}
	for _, l := range s.limits() {
		if *l.value > l.most {
			add("%s %d, at most %d", l.field, *l.value, l.most)
		}
	}
	// A step may depend only on earlier ones, which rules out cycles.
	for _, a := range s.After {
		if a < 0 || a >= i {
			add("runs after step %d, which is not an earlier one", a)
		}
	}
	return errs
}

const idDigits = 16

func isID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// limit is the highest value of a field.
type limit struct {
	field string
	value *int64
	most  int64
}

func (s *Step) limits() [5]limit {
	return [...]limit{
		{"cpu-millis", &s.Needs.CPUMillis, MaxNeed},
		{"memory-mb", &s.Needs.MemoryMB, MaxNeed},
		{"gpus", &s.Needs.GPUs, MaxNeed},
		{"estimate-ms", &s.EstimateMillis, MaxEstimate.Milliseconds()},
		{"tail-target", &s.TailMillis, MaxEstimate.Milliseconds()},
	}
}

// Bound limits the values of a job that an earlier build accepted and that Check refuses now.
func (j *Job) Bound() {
	for i := range j.Steps {
		for _, l := range j.Steps[i].limits() {
			*l.value = min(*l.value, l.most)
		}
	}
}
