package tracker

import (
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
)

// Guards against a long-running task that fails at once wherever it starts, and floods the agents
// with orders.
func TestLongRunningTaskBacksOff(t *testing.T) {
	const lasts = int(restartResetAfter / time.Millisecond)
	tests := []struct {
		name   string
		lasted []int   // ms that each run lasted before it failed
		random float64 // from 0 up to 1
		want   time.Duration
	}{
		{"first failure", []int{10}, 1, 0},
		{"second", []int{10, 10}, 1, restartDelayFirst},
		{"third", []int{10, 10, 10}, 1, 2 * restartDelayFirst},
		{"third, with jitter", []int{10, 10, 10}, 0.25, restartDelayFirst / 2},
		{"many", []int{10, 10, 10, 10, 10, 10, 10, 10, 10}, 1, restartDelayMax},
		{"after a run that lasted", []int{10, 10, lasts}, 1, 0},
		{"second after a run that lasted", []int{10, 10, lasts, 10}, 1, restartDelayFirst},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New(Config{Policy: newState(t, 3).Policy(), Random: func() float64 { return tt.random }})
			addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, LongRunning: true})
			vm, now := attach(tr, "vm"), begin
			for n, lasted := range tt.lasted {
				run := int64(n + 1)
				tr.Place(tr.Find(task(1, 0, 0)), vm, run, now)
				tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: vm.OrderSeq, Runs: []ReportedRun{{Key: key(1, 0, 0, run), Confirmed: true}}}, now)
				now = now.Add(time.Duration(lasted) * time.Millisecond)
				tr.EndRun(vm, key(1, 0, 0, run), EndFailed, "", now)
			}
			if got := tr.Find(task(1, 0, 0)).RestartDelay(now); got != tt.want {
				t.Errorf("the restart is delayed by %s, want %s", got, tt.want)
			}
		})
	}
}

// Guards against a delay that outlasts its cause: a task that was stopped, or lost its VM, has not
// failed.
func TestOnlyFailuresDelayRestarts(t *testing.T) {
	for _, outcome := range []End{EndStopped, EndLapsed, EndLost} {
		tr := newState(t, 3)
		addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, LongRunning: true})
		vm := attach(tr, "vm")
		for run := range int64(5) {
			tr.Place(tr.Find(task(1, 0, 0)), vm, run+1, at(0))
			tr.EndRun(vm, key(1, 0, 0, run+1), outcome, "", at(10))
		}
		if got := tr.Find(task(1, 0, 0)).RestartDelay(at(10)); got != 0 {
			t.Errorf("%s: the restart is delayed by %s", outcome, got)
		}
	}
}
