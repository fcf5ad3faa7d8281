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
	// MaxTimeApart is the longest time between the starts on one VM of tasks under which workers crashed at the
	// same age. Each keeps a random part of it from the one before, if there is no other VM: those that start
	// together with the cause would be as old as it at the next crash too.
	MaxTimeApart = 3 * time.Second
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
	// ReportGap is the longest time between two reports of an agent without news. What ended with its agent may have
	// gone on for so long after the last report.
	ReportGap = 600 * time.Millisecond
)

// Crash is a crash of a worker that a task is suspected of, in its stored form.
type Crash struct {
	Run       int64  `json:"run"`
	VM        string `json:"vm"`
	AgeMillis int64  `json:"age-ms"` // of the run, at least
	// SpreadMillis is how much older the run may have been. It is above 0 if no process reported the crash: worker and
	// agent ended together, which a loss of power causes, too. Such a crash counts only beside others at the same age.
	SpreadMillis int64 `json:"spread-ms,omitempty"`
	AtMillis     int64 `json:"at-ms,omitempty"`  // when it was attributed, in Unix time; the same for all tasks that were there
	Likely       bool  `json:"likely,omitempty"` // it had just started, or repeated a crash
	Sole         bool  `json:"sole,omitempty"`   // no other task was a likely cause
}

// Age is how long the run had run at the crash, at least.
func (c Crash) Age() time.Duration { return time.Duration(c.AgeMillis) * time.Millisecond }

// oldest is how long the run had run at the crash, at most.
func (c Crash) oldest() time.Duration {
	return c.Age() + time.Duration(c.SpreadMillis)*time.Millisecond
}

// Unreported reports whether no process reported the crash.
func (c Crash) Unreported() bool { return c.SpreadMillis > 0 }

// observation is how long a later run of the task must run to clear it.
func (c Crash) observation() time.Duration {
	if c.Unreported() {
		return c.oldest() + MinObservation // it counts only if it is repeated at the same age
	}
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

// isLate reports whether the run had run for so long that only a repetition shows whether it is the cause.
func (c Crash) isLate() bool { return c.Age() > CrashWindow }

// sameAge reports whether two runs may have been equally old at a crash, as those of a task are that crashes its
// workers.
func sameAge(a, b Crash) bool {
	return a.Age() <= b.oldest()+CrashAgeSpread && b.Age() <= a.oldest()+CrashAgeSpread
}

// IsLikelyOfLongRunning reports whether a run of this age, of a long-running task with these earlier crashes,
// is a likely cause of a crash. Such tasks are there at every crash, so of a task that had run for longer
// than CrashWindow the age has to be the same as at an earlier one.
func IsLikelyOfLongRunning(crashes []Crash, age time.Duration) bool {
	return MayBeLikelyOfLongRunning(crashes, age, age)
}

// MayBeLikelyOfLongRunning reports the same of a run whose age is between two bounds.
func MayBeLikelyOfLongRunning(crashes []Crash, least, most time.Duration) bool {
	return least <= CrashWindow || slices.ContainsFunc(crashes, func(c Crash) bool {
		return least <= c.oldest()+CrashAgeSpread && c.Age() <= most+CrashAgeSpread
	})
}

// WithoutOutlived returns the crashes of a long-running task that a run of this age has not outlived.
func WithoutOutlived(crashes []Crash, age time.Duration) []Crash {
	early := slices.ContainsFunc(crashes, func(c Crash) bool { return !c.isLate() && age <= c.observation() })
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool {
		if c.isLate() {
			return age > c.oldest()+MinObservation // it would have crashed its worker again at the same age
		}
		return !early
	})
}

// RepeatsLate reports whether the last crash came later than CrashWindow after the start and at the same age
// as an earlier one.
func RepeatsLate(crashes []Crash) bool {
	if len(crashes) == 0 || !crashes[len(crashes)-1].isLate() {
		return false
	}
	return likeLast(crashes, crashes) > 1
}

// TooManyOfLongRunning reports the same as TooMany of a long-running task. Only crashes count that it is a
// likely cause of, or that all came at the same late age.
func TooManyOfLongRunning(own, all []Crash) bool {
	return allAtOneAge(own) || TooMany(likely(own), likely(all))
}

// allAtOneAge reports whether the last crashes, as many as give up a task, came at the same late age.
func allAtOneAge(own []Crash) bool {
	if len(own) < LikelyCrashesToGiveUp {
		return false
	}
	last := own[len(own)-LikelyCrashesToGiveUp:]
	least, most, late := last[0].oldest(), last[0].Age(), true
	for _, c := range last {
		least, most, late = min(least, c.oldest()), max(most, c.Age()), late && c.isLate()
	}
	return late && most-least <= CrashAgeSpread && conclusive(last)
}

// Weight returns how many crashes speak against a task: those that came at the same late age as the last one,
// if there are several, or of which it is a likely cause.
func Weight(own []Crash) int {
	if !RepeatsLate(own) {
		return len(likely(own))
	}
	return max(likeLast(own, own), len(likely(own)))
}

// Unexplained returns the crashes of a task without those of a cause that was found.
func Unexplained(own, cause []Crash) []Crash {
	return slices.DeleteFunc(slices.Clone(own), func(c Crash) bool {
		return c.AtMillis != 0 && slices.ContainsFunc(cause, func(k Crash) bool { return k.VM == c.VM && k.AtMillis == c.AtMillis })
	})
}

// likely returns the crashes that a task is a likely cause of.
func likely(crashes []Crash) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return !c.Likely })
}

// TooMany reports whether a task has crashed too many workers to start again. own are its crashes,
// the last one last, and all those of the tasks that start together with it, itself included.
func TooMany(own, all []Crash) bool {
	if tooMany(reported(own), reported(all)) {
		return true
	}
	all = counted(own, all)
	return conclusive(all) && tooMany(own, all)
}

func tooMany(own, all []Crash) bool {
	likely := 0
	for _, c := range all {
		if c.Likely {
			likely++
		}
	}
	return likeObserved(own, all) >= ObservedCrashesToGiveUp || likely >= LikelyCrashesToGiveUp || len(all) >= CrashesToGiveUp
}

func reported(crashes []Crash) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), Crash.Unreported)
}

// counted returns the crashes that speak against a task: those that were reported, and others that came at the same age
// as its last one.
func counted(own, all []Crash) []Crash {
	return slices.DeleteFunc(slices.Clone(all), func(c Crash) bool {
		return c.Unreported() && (len(own) == 0 || !sameAge(c, own[len(own)-1]))
	})
}

// conclusive reports whether the crashes may give a task up: if some were not reported, they must have come on more
// than one VM, since one that loses power often does so under whatever runs there.
func conclusive(crashes []Crash) bool {
	if !slices.ContainsFunc(crashes, Crash.Unreported) {
		return true
	}
	return slices.ContainsFunc(crashes, func(c Crash) bool { return c.VM != crashes[0].VM })
}

// WithoutDisproved returns the crashes of a task without those that were not reported and that a run of this age has
// outlived.
func WithoutDisproved(crashes []Crash, age time.Duration) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return c.Unreported() && age > c.observation() })
}

// likeObserved returns how many of all crashes came at the same age as the task's last one, if the
// task was the sole cause of that, or else 0.
func likeObserved(own, all []Crash) int {
	if len(own) == 0 || !own[len(own)-1].Sole {
		return 0
	}
	return likeLast(own, all)
}

// likeLast returns how many of all crashes came at the same age as the task's last one.
func likeLast(own, all []Crash) (count int) {
	last := own[len(own)-1]
	for _, c := range all {
		if sameAge(c, last) {
			count++
		}
	}
	return count
}
