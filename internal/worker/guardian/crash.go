package guardian

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
)

// loggedCrashRuns is the number of runs that a log line on a crash names, the latest starts
// first. It keeps the line below 1 KiB.
const loggedCrashRuns = 8

// crashedRun is a run that was on a worker when it crashed.
type crashedRun struct {
	key tracker.RunKey
	age time.Duration // since its start was sent, or since it was found on the worker
}

// recordCrashLocked records that the worker's process has ended without having announced that
// it leaves. Each incarnation crashes at most once. at is when it ended, as far as known.
func (g *Guardian) recordCrashLocked(at time.Time) {
	if g.incarnation == "" || g.leaving || g.crashRecorded {
		return
	}
	g.crashRecorded = true
	runs := g.crashedRunsLocked(at)
	g.config.Reporter.Report(reporter.WorkerCrashed, reporter.Fields{"life": g.incarnation, "runs": len(runs), "latest": describeCrashedRuns(runs)})
}

// crashedRunsLocked returns the runs that the worker had, or may have had, when it ended, the
// latest starts first. A start that found no process, or was sent to one that had ended, is not
// among them.
func (g *Guardian) crashedRunsLocked(at time.Time) []crashedRun {
	var runs []crashedRun
	for _, from := range []map[tracker.RunKey]*run{g.runs, g.expiredRuns} {
		for key, r := range from {
			if !r.sentAt.IsZero() && (r.confirmed || !r.sentAt.After(at)) {
				runs = append(runs, crashedRun{key: key, age: max(at.Sub(r.sentAt), 0)})
			}
		}
	}
	slices.SortFunc(runs, func(a, b crashedRun) int {
		switch {
		case a.age != b.age:
			return int(a.age - b.age)
		case a.key.Less(b.key):
			return -1
		}
		return 1
	})
	return runs
}

func describeCrashedRuns(runs []crashedRun) string {
	var parts []string
	for _, r := range runs[:min(len(runs), loggedCrashRuns)] {
		parts = append(parts, fmt.Sprintf("%s/%d after %s", r.key.Task, r.key.Number, r.age.Round(time.Millisecond)))
	}
	return strings.Join(parts, ", ")
}
