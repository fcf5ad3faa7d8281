package tracker

import (
	"time"

	"bamboospread/internal/worker/attributor"
)

// setbacks is what a task has met with. Most tasks have none, and an owner holds hundreds of thousands of
// waiting ones.
type setbacks struct {
	failed     []int64            // numbers of the failed runs
	crashes    []attributor.Crash // of workers, that it is suspected of
	restarts   int                // of a long-running task, after runs in a row that ended by themselves
	giveUpAt   time.Time          // when its job fails, if too many workers have crashed under it; zero: not
	heldUntil  time.Time          // it does not start before, since a VM that may have ended under it is without contact
	apart      time.Duration      // from the start of another task on the VM that repeats late crashes too
	avoidedVMs map[string]bool    // VMs on which a run of it failed
	relocation Relocation         // zero: it is not being moved
	lastLoss   *Loss              // nil: none
	lostSince  time.Time          // when the worker of its last run was last heard of, if that run was given up
}

// change returns the setbacks of a task, to be changed.
func (t *Task) change() *setbacks {
	if t.setbacks == nil {
		t.setbacks = &setbacks{}
	}
	return t.setbacks
}

// Failed returns the numbers of the failed runs.
func (t *Task) Failed() []int64 {
	if t.setbacks == nil {
		return nil
	}
	return t.setbacks.failed
}

// SetFailed sets the numbers of the failed runs.
func (t *Task) SetFailed(numbers []int64) {
	if len(numbers) > 0 || t.setbacks != nil {
		t.change().failed = numbers
	}
}

// Crashes returns the crashes of workers that the task is suspected of.
func (t *Task) Crashes() []attributor.Crash {
	if t.setbacks == nil {
		return nil
	}
	return t.setbacks.crashes
}

// SetCrashes sets the crashes of workers that the task is suspected of.
func (t *Task) SetCrashes(crashes []attributor.Crash) {
	if len(crashes) > 0 || t.setbacks != nil {
		t.change().crashes = crashes
	}
	t.Step.unitCrashes = nil
}

// GiveUpAt returns when the job of the task fails, if too many workers have crashed under it; zero: not.
func (t *Task) GiveUpAt() time.Time {
	if t.setbacks == nil {
		return time.Time{}
	}
	return t.setbacks.giveUpAt
}

func (t *Task) setGiveUpAt(at time.Time) {
	if !at.IsZero() || t.setbacks != nil {
		t.change().giveUpAt = at
	}
}

// HeldUntil returns the time before which the task does not start, since a VM that may have ended under it is without
// contact; zero: it may start.
func (t *Task) HeldUntil() time.Time {
	if t.setbacks == nil {
		return time.Time{}
	}
	return t.setbacks.heldUntil
}

func (t *Task) setHeldUntil(at time.Time) {
	if !at.IsZero() || t.setbacks != nil {
		t.change().heldUntil = at
	}
}

// Apart returns how long the task waits from the start of another one on the VM that repeats late crashes too.
func (t *Task) Apart() time.Duration {
	if t.setbacks == nil {
		return 0
	}
	return t.setbacks.apart
}

// AvoidsVM reports whether a run of the task has failed on a VM.
func (t *Task) AvoidsVM(vm string) bool { return t.setbacks != nil && t.setbacks.avoidedVMs[vm] }

// AvoidsVMs reports whether a run of the task has failed on any VM.
func (t *Task) AvoidsVMs() bool { return t.setbacks != nil && len(t.setbacks.avoidedVMs) > 0 }

func (t *Task) avoidVM(vm string) {
	s := t.change()
	if s.avoidedVMs == nil {
		s.avoidedVMs = make(map[string]bool)
	}
	s.avoidedVMs[vm] = true
}

// Relocation returns the move of the task; zero: it is not being moved.
func (t *Task) Relocation() Relocation {
	if t.setbacks == nil {
		return Relocation{}
	}
	return t.setbacks.relocation
}

// SetRelocation sets the move of the task.
func (t *Task) SetRelocation(m Relocation) {
	if m != (Relocation{}) || t.setbacks != nil {
		t.change().relocation = m
	}
}
