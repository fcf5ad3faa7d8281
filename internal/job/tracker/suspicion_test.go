package tracker

import (
	"testing"
	"time"

	"bamboospread/internal/worker/attributor"
)

// Guards against a job that fails because its task stood on three workers that were restarted one
// after the other: it starts on the next one as soon as it is lost, and is alone there. A task that
// crashes its workers does so at the same age each time.
func TestCrashesAtDifferentAgesAreNotConclusive(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name   string
		ages   []time.Duration // of the run at each crash; beyond CrashWindow another task has just started
		failed bool
	}{
		{"three at different ages", []time.Duration{400 * ms, 723 * ms, 105 * ms}, false},
		{"the last one differs", []time.Duration{300 * ms, 300 * ms, 450 * ms}, false},
		{"the first one differs", []time.Duration{10 * ms, 300 * ms, 310 * ms}, false},
		{"three at the same age", []time.Duration{300 * ms, 340 * ms, 310 * ms}, true},
		{"the greatest difference", []time.Duration{300 * ms, 310 * ms, 300*ms + attributor.CrashAgeSpread}, true},
		{"a greater difference", []time.Duration{300 * ms, 310 * ms, 301*ms + attributor.CrashAgeSpread}, false},
		{"two at the same age after one that another task caused", []time.Duration{3000 * ms, 10 * ms, 20 * ms}, false},
		{"three at the same age after one that another task caused", []time.Duration{3000 * ms, 10 * ms, 20 * ms, 10 * ms}, true},
		{"four at different ages", []time.Duration{400 * ms, 723 * ms, 105 * ms, 600 * ms}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newCrashFixture(t)
			j := addJob(t, f.tr, 1, oneTask(1))
			other := addJob(t, f.tr, 2, oneTask(1))
			for _, age := range tt.ages {
				ages := map[*Task]time.Duration{j.Occurrences[0].Steps[0].Tasks[0]: age}
				if age > attributor.CrashWindow {
					ages[other.Occurrences[0].Steps[0].Tasks[0]] = ms
				}
				f.crashOnce("vm", ages)
			}
			f.waitToGiveUp()
			if got := j.State == JobFailed; got != tt.failed {
				t.Errorf("the job is %s: %+v", j.State, j.Occurrences[0].Steps[0].Tasks[0].Crashes())
			}
		})
	}
}

// Guards against a job that fails because workers lost their state without a broken connection:
// that is noticed with the next answer, so that the ages are the same each time for no reason.
func TestCrashesAtUnknownTimesAreNotConclusive(t *testing.T) {
	tests := []struct {
		name    string
		crashes int
		failed  bool
	}{
		{"three", attributor.ObservedCrashesToGiveUp, false},
		{"four", attributor.LikelyCrashesToGiveUp, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newCrashFixture(t)
			j := addJob(t, f.tr, 1, oneTask(1))
			for n := range tt.crashes {
				f.now = f.now.Add(2 * attributor.CrashesTogether)
				r := f.run("vm", j.Occurrences[0].Steps[0].Tasks[0])
				f.tr.Apply(r.VM, Report{Incarnation: r.VM.Incarnation, OrdersSeen: r.VM.OrderSeq, Crashes: []ReportedCrash{
					{Seq: int64(n + 1), TimeUnknown: true, Runs: []CrashedRun{{Key: r.Key(), Age: 620 * time.Millisecond}}},
				}}, f.now)
			}
			f.waitToGiveUp()
			if got := j.State == JobFailed; got != tt.failed {
				t.Errorf("the job is %s: %+v", j.State, j.Occurrences[0].Steps[0].Tasks[0].Crashes())
			}
		})
	}
}
