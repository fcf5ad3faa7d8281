package guardian

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// loggedCrashRuns is the number of runs that a log line on a crash names, the latest starts
// first. It keeps the line below 1 KiB.
const loggedCrashRuns = 8

// maxCrashesKept is the number of crashes that are kept for the owner. More than one or two wait
// only while the cell has no owner, and then nothing starts.
const maxCrashesKept = 16

const (
	// CrashReportTimeout is how long an agent's planned stop waits until the owner has stored the
	// crashes that this process has seen. It covers the takeover of a cell whose owner is lost.
	CrashReportTimeout = 4 * time.Second
	// crashStoredInterval is the time between checks whether the crashes are stored.
	crashStoredInterval = 20 * time.Millisecond
)

// AwaitCrashesStored returns once the owner has stored the crashes that this process has seen and it
// is known whether a worker that does not answer has crashed, or after CrashReportTimeout. The next
// process of the agent knows nothing of them: an agent that stops earlier lets the tasks that crashed
// its worker crash others.
func (g *Guardian) AwaitCrashesStored(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, CrashReportTimeout)
	defer cancel()
	for {
		g.mu.Lock()
		unstored, undecided := len(g.crashes), g.isCrashUndecidedLocked()
		g.mu.Unlock()
		if unstored == 0 && !undecided {
			return nil
		}
		if err := pauser.Pause(ctx, crashStoredInterval); err != nil {
			g.config.Reporter.Report(reporter.CrashesNotStored, reporter.Fields{"crashes": unstored, "undecided": undecided})
			return nil
		}
	}
}

// endProof is what showed that a worker, or all its runs, have ended.
type endProof string

const (
	processEnded        endProof = "process ended"
	workerLeft          endProof = "worker left"
	leasesExpired       endProof = "leases expired"
	incarnationAnswered endProof = "another incarnation answered"
)

// isCrashUndecidedLocked reports whether the worker does not answer and may have crashed with runs.
func (g *Guardian) isCrashUndecidedLocked() bool {
	return !g.unresponsiveSince.IsZero() && !g.leaving && !g.crashRecorded && len(g.runs)+len(g.expiredRuns) > 0
}

// crash is a crash of the worker that the owner has not stored yet.
type crash struct {
	seq         int64
	at          time.Time // when the first poll failed, or when it was noticed
	timeUnknown bool      // no poll failed
	runs        []crashedRun
}

// crashedRun is a run that was on a worker when it crashed.
type crashedRun struct {
	key tracker.RunKey
	age time.Duration // since its start was sent, or since it was found on the worker
}

// recordCrashLocked records that the worker's process has ended without having announced that
// it leaves. Each incarnation crashes at most once. at is when it ended, as far as known.
func (g *Guardian) recordCrashLocked(at time.Time, proof endProof) {
	if g.incarnation == "" || g.leaving || g.crashRecorded {
		return
	}
	g.crashRecorded = true
	runs := g.crashedRunsLocked(at)
	g.config.Reporter.Report(reporter.WorkerCrashed, reporter.Fields{"life": g.incarnation, "runs": len(runs), "proof": string(proof), "latest": describeCrashedRuns(runs)})
	g.lastCrash++
	g.crashes = append(g.crashes, crash{seq: g.lastCrash, at: at, timeUnknown: g.pollsFailSince.IsZero(), runs: runs})
	g.crashes = g.crashes[max(len(g.crashes)-maxCrashesKept, 0):]
	g.signal()
}

// dropStoredCrashesLocked removes the crashes that the owner has stored.
func (g *Guardian) dropStoredCrashesLocked(seq int64) {
	g.crashes = slices.DeleteFunc(g.crashes, func(c crash) bool { return c.seq <= seq })
}

// crashesLocked lists the crashes that the owner has not stored yet.
func (g *Guardian) crashesLocked() []messenger.WorkCrash {
	var all []messenger.WorkCrash
	for _, c := range g.crashes {
		w := messenger.WorkCrash{Seq: c.seq, AgoMillis: g.config.Now().Sub(c.at).Milliseconds(), TimeUnknown: c.timeUnknown}
		for _, r := range c.runs {
			w.Runs = append(w.Runs, messenger.WorkCrashedRun{Task: r.key.Task.String(), Run: r.key.Number, AgeMillis: r.age.Milliseconds()})
		}
		all = append(all, w)
	}
	return all
}

// crashedRunsLocked returns the runs that the worker had, or may have had, when it ended, the
// latest starts first. A start that was not sent, or was sent to a process that had ended, is not
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
