// Package attributor decides which tasks are likely causes of the crash of a worker, and when a
// task has crashed too many workers to start again.
package attributor

import (
	"slices"
	"time"
)

// Rules by which the crash of a worker is attributed to a task.
const (
	// CrashWindow is how long after its start a run is a likely cause of a crash of its worker. The
	// starts of a task that crashes workers later than that are not observed.
	CrashWindow = time.Second
	// MinObservation is how long a run must run at least to clear its task.
	MinObservation = 500 * time.Millisecond
	// crashRepeatFactor is how many times the age that a run had at a crash a later run of the
	// same task may have at another crash to be a likely cause again. A run that outlives it
	// clears its task.
	crashRepeatFactor = 2
	// CrashesToObserve is how many workers must crash under the task within CrashWindow before
	// its starts are observed. Observing each task that stood beside one crash would delay many.
	CrashesToObserve = 2
	// ObservedCrashesToGiveUp is how many workers must crash under the task before it is given up,
	// if it was the only likely cause of the last crash, whose start was observed, and its runs had
	// the same age at each of them.
	ObservedCrashesToGiveUp = CrashesToObserve + 1
	// CrashAgeSpread is how much the age at a crash may differ from that at the last crash to count
	// as the same. Agents notice a crash up to 50 ms late, between two polls; as much is left for a
	// busy VM. Workers that are restarted one after the other end the runs of a task at any age.
	CrashAgeSpread = 100 * time.Millisecond
	// LikelyCrashesToGiveUp is the number of crashes of which the task was a likely cause.
	LikelyCrashesToGiveUp = 4
	// CrashesTogether is the time within which crashes on several VMs are taken for one event, such
	// as the loss of a rack, for which no task is the sole cause.
	CrashesTogether = 500 * time.Millisecond
	// CrashesToGiveUp is the number of crashes in all. A task may start twice after three workers
	// have crashed under it.
	CrashesToGiveUp = 5
)

// Crash is a crash of a worker that a task is suspected of, in its stored form.
type Crash struct {
	Run       int64  `json:"run"`
	VM        string `json:"vm"`
	AgeMillis int64  `json:"age-ms"`           // of the run
	Likely    bool   `json:"likely,omitempty"` // it had just started, or repeated a crash
	Sole      bool   `json:"sole,omitempty"`   // no other task was a likely cause
}

// Age is how long the run had run at the crash.
func (c Crash) Age() time.Duration { return time.Duration(c.AgeMillis) * time.Millisecond }

// observation is how long a later run of the task must run to clear it.
func (c Crash) observation() time.Duration {
	return max(MinObservation, crashRepeatFactor*c.Age())
}

// Repeats reports whether a run of this age may have crashed its worker as an earlier run of the
// same task did.
func Repeats(crashes []Crash, age time.Duration) bool {
	return slices.ContainsFunc(crashes, func(c Crash) bool { return age <= c.observation() })
}

// IsLikely reports whether a run of this age, of a task with these earlier crashes, is a likely
// cause of a crash.
func IsLikely(crashes []Crash, age time.Duration) bool {
	return age <= CrashWindow || Repeats(crashes, age)
}

// TooMany reports whether a task has crashed too many workers to start again. own are its crashes,
// the last one last, and all those of the tasks that start together with it, itself included.
func TooMany(own, all []Crash) bool {
	likely := 0
	for _, c := range all {
		if c.Likely {
			likely++
		}
	}
	return likeObserved(own, all) >= ObservedCrashesToGiveUp || likely >= LikelyCrashesToGiveUp || len(all) >= CrashesToGiveUp
}

// likeObserved returns how many of all crashes came at the same age as the task's last one, if the
// task was the sole cause of that, or else 0.
func likeObserved(own, all []Crash) (count int) {
	if len(own) == 0 || !own[len(own)-1].Sole {
		return 0
	}
	last := own[len(own)-1]
	for _, c := range all {
		if (c.Age() - last.Age()).Abs() <= CrashAgeSpread {
			count++
		}
	}
	return count
}
